package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Reports of a worker to the controllers, and its handling of the answers.

// snapshot returns the worker's report.
func (m *machine) snapshot() protocol.Report {
	m.ticket++
	r := protocol.Report{Machine: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot, Session: m.session,
		Ticket: m.ticket, Token: m.token, Tasks: make([]protocol.TaskReport, 0, len(m.tasks))}
	if m.leaves != nil {
		left := max(0, time.Until(*m.leaves)).Seconds()
		r.NoticeS = &left
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// reportLoop sends one report at a time until the machine is gone.
func (m *machine) report() {
	client := &http.Client{Transport: &http.Transport{DialContext: m.w.net.Dialer(m.id), MaxConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for {
		var rep protocol.Report
		var resumed chan struct{}
		var node, addr string
		boots := 0
		every := m.w.set.ReportEvery
		if !m.w.loop.do(func() {
			if resumed = m.resumed; m.hung || m.dead {
				return
			}
			rep, boots = m.snapshot(), m.boots
			node = m.w.set.Controllers[m.node]
			if addr = m.w.fronts[node]; m.mute {
				addr = "" // no connection can be opened
			} else {
				m.echo(rep)
			}
			if m.w.set.Variation.Reports {
				every = time.Duration(float64(every) * m.w.spread(0.75, 1.25))
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
		wait, poked := m.post(client, rep, boots, node, addr, every), (<-chan struct{})(m.poke)
		if wait < every { // it switches to another controller; a triggered report does not cut this delay short
			poked = nil
		}
		t := time.NewTimer(wait)
		select {
		case <-poked:
			if !Sleep(m.ctx, leastGap) {
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
func (m *machine) echo(rep protocol.Report) {
	if _, kept := m.w.kept[m.id]; m.w.keeps && !kept {
		m.w.kept[m.id] = rep
	}
	if m.w.echo <= 0 {
		return
	}
	to := m.w.fronts[m.w.set.Controllers[m.w.rng.IntN(len(m.w.set.Controllers))]]
	w := m.w
	w.loop.after(w.echo, func() {
		go func() {
			c := &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer(rep.Machine), DisableKeepAlives: true}}
			request(w.loop.ctx, c, http.MethodPost, "http://"+to+"/checkin", rep, reportAnswer) // the answer is dropped
		}()
	})
}

// sendReport sends a report, carries out its answer and returns the time to wait before the next report.
func (m *machine) post(client *http.Client, rep protocol.Report, boots int, node, addr string, every time.Duration) (wait time.Duration) {
	sent := time.Now()
	status, body := 0, []byte(nil)
	if addr != "" {
		status, body = request(m.ctx, client, http.MethodPost, "http://"+addr+"/checkin", rep, reportAnswer)
	}
	deaf := false
	if m.w.loop.do(func() { deaf = m.deaf }); deaf {
		// The report arrived, but its answer is dropped: the worker waits for it until the timeout.
		if status != 0 && !Sleep(m.ctx, reportAnswer-time.Since(sent)) {
			return nextNode
		}
		status = 0
	}
	wait = nextNode
	lost := false // it switches to another controller
	m.w.loop.do(func() {
		next := (m.node + 1) % len(m.w.set.Controllers)
		switch status {
		case http.StatusOK:
			var a protocol.ReportAnswer
			wait = every
			if json.Unmarshal(body, &a) != nil || a.Token < m.token || rep.Session != m.session || m.hung || m.dead || boots != m.boots {
				return
			}
			if a.Token > m.token && time.Since(m.told) >= m.w.set.Lease/2 {
				m.told = time.Now()
				m.say()
			}
			m.token, m.renewed = a.Token, sent
			m.obey(a.Commands, m.w.Elapsed())
			return
		case http.StatusMisdirectedRequest:
			var red protocol.Redirect
			if json.Unmarshal(body, &red) == nil && red.Node != "" && red.Node != node {
				if at := slices.Index(m.w.set.Controllers, red.Node); at >= 0 {
					next, wait = at, redirected
				}
			}
		}
		m.node = next
		lost = true
	})
	if lost {
		// Not on the world's goroutine: closing waits for the network, which asks the world for zones while a
		// zone is partitioned. The two deadlocked here (incident emulator-cut-stall).
		client.CloseIdleConnections()
	}
	return wait
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
