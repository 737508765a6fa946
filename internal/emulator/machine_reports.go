package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Reports of a worker to the controllers, and its handling of the answers.

// snapshot returns the worker's report.
func (m *machine) snapshot() protocol.Report {
	m.ticket++
	r := protocol.Report{Machine: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot, Session: m.session,
		Ticket: m.ticket, Token: m.token, Tasks: make([]protocol.TaskReport, 0, len(m.tasks))}
	if m.reclaimAt != nil {
		left := max(0, time.Until(*m.reclaimAt)).Seconds()
		r.NoticeS = &left
	}
	for _, t := range m.sortedTasks() {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// reportLoop sends one reportLoop at a time until the machine is gone.
func (m *machine) reportLoop() {
	client := &http.Client{Transport: &http.Transport{DialContext: m.w.net.Dialer(m.id), MaxConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for {
		var rep protocol.Report
		var resumed chan struct{}
		var node, addr string
		boots := 0
		every := m.w.setup.ReportEvery
		if !m.w.loop.do(func() {
			if resumed = m.resumed; m.frozen || m.dead {
				return
			}
			rep, boots = m.snapshot(), m.reboots
			node = m.w.setup.Controllers[m.controller]
			if addr = m.w.controllerAddrs[node]; m.outboundBlocked {
				addr = "" // no connection can be opened
			} else {
				m.duplicateReport(rep)
			}
			if m.w.setup.Variation.Reports {
				every = time.Duration(float64(every) * m.w.uniform(0.75, 1.25))
			}
		}) || m.ctx.Err() != nil {
			return
		}
		if rep.Machine == "" {
			select {
			case <-resumed:
			case <-m.ctx.Done():
				return
			}
			continue
		}
		wait, triggered := m.sendReport(client, rep, boots, node, addr, every), (<-chan struct{})(m.reportNow)
		if wait < every { // it switches to another controller; a triggered report does not cut this delay short
			triggered = nil
		}
		t := time.NewTimer(wait)
		select {
		case <-triggered:
			if !Sleep(m.ctx, minReportGap) {
				return
			}
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
		t.Stop()
	}
}

// duplicateReport sends a delayed copy of a report, or keeps one for replay, while the world injects these
// faults.
func (m *machine) duplicateReport(rep protocol.Report) {
	if _, kept := m.w.keptReports[m.id]; m.w.keepReports && !kept {
		m.w.keptReports[m.id] = rep
	}
	if m.w.duplicateDelay <= 0 {
		return
	}
	to := m.w.controllerAddrs[m.w.setup.Controllers[m.w.rng.IntN(len(m.w.setup.Controllers))]]
	w := m.w
	w.loop.after(w.duplicateDelay, func() {
		go func() {
			c := &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer(rep.Machine), DisableKeepAlives: true}}
			request(w.loop.ctx, c, http.MethodPost, "http://"+to+"/checkin", rep, reportTimeout) // the answer is dropped
		}()
	})
}

// sendReport sends a report, carries out its answer and returns the time to wait before the next report.
func (m *machine) sendReport(client *http.Client, rep protocol.Report, boots int, node, addr string, every time.Duration) (wait time.Duration) {
	sent := time.Now()
	status, body := 0, []byte(nil)
	if addr != "" && m.reportFits(&rep) {
		status, body = request(m.ctx, client, http.MethodPost, "http://"+addr+"/checkin", rep, reportTimeout)
	}
	if line := longestLine(body); line > protocol.MaxLine {
		m.recordOversized("answer to a report", line)
		status = 0 // the worker reads no such answer
	}
	deaf := false
	if m.w.loop.do(func() { deaf = m.inboundDropped }); deaf {
		// The report arrived, but its answer is dropped: the worker waits for it until the timeout.
		if status != 0 && !Sleep(m.ctx, reportTimeout-time.Since(sent)) {
			return failoverDelay
		}
		status = 0
	}
	wait = failoverDelay
	switched := false // it switches to another controller
	m.w.loop.do(func() {
		next := (m.controller + 1) % len(m.w.setup.Controllers)
		switch status {
		case http.StatusOK:
			var a protocol.ReportAnswer
			wait = every
			if json.Unmarshal(body, &a) != nil || a.Token < m.token || rep.Session != m.session || m.frozen || m.dead || boots != m.reboots {
				return
			}
			m.noteToken(a.Token)
			m.renewedAt = sent
			m.execute(a.Commands, m.w.Elapsed())
			return
		case http.StatusMisdirectedRequest:
			var red protocol.Redirect
			if json.Unmarshal(body, &red) == nil && red.Node != "" && red.Node != node {
				if at := slices.Index(m.w.setup.Controllers, red.Node); at >= 0 {
					next, wait = at, redirectDelay
				}
			}
		}
		m.controller = next
		switched = true
	})
	if switched {
		// Not on the world's goroutine: closing waits for the network, which asks the world for zones while a
		// zone is partitioned. The two deadlocked here (incident emulator-cut-stall).
		client.CloseIdleConnections()
	}
	return wait
}

// maxUncheckedTasks is the number of tasks up to which a report certainly fits into a request.
const maxUncheckedTasks = protocol.MaxBody / 200

// reportFits reports whether a report fits into a request. The worker does not send one that doesn't.
func (m *machine) reportFits(rep *protocol.Report) bool {
	if len(rep.Tasks) <= maxUncheckedTasks {
		return true
	}
	raw, err := json.Marshal(rep)
	if err != nil || len(raw) > protocol.MaxBody {
		m.recordOversized("report", len(raw))
		return false
	}
	return true
}

// recordOversized records a message that exceeds its limit.
func (m *machine) recordOversized(message string, bytes int) {
	m.w.loop.do(func() {
		m.w.record(history.Event{Kind: history.Oversized, Machine: m.id, Cause: message, Code: bytes})
	})
}

// longestLine returns the length of the longest line of a response.
func longestLine(body []byte) (longest int) {
	for line := range bytes.Lines(body) {
		longest = max(longest, len(bytes.TrimRight(line, "\r\n")))
	}
	return longest
}

// request sends one request with a timeout; status 0 means no answer.
func request(ctx context.Context, c *http.Client, method, url string, body any, timeout time.Duration) (status int, raw []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, err := transport.Call(ctx, c, method, url, body)
	if err != nil {
		return 0, nil
	}
	return status, raw
}
