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

// What a worker reports to the controllers, and what it makes of the answers.

// snapshot is the worker's report.
func (m *machine) snapshot() protocol.Report {
	m.ticket++
	r := protocol.Report{Machine: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot, Session: m.session,
		Ticket: m.ticket, Token: m.token, Tasks: make([]protocol.TaskReport, 0, len(m.tasks))}
	if m.leaves != nil {
		left := max(0, time.Until(*m.leaves)).Seconds()
		r.NoticeS = &left
	}
	for _, t := range m.sortedTasks() {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// report reports until the machine is gone, one report at a time.
func (m *machine) report() {
	client := &http.Client{Transport: &http.Transport{DialContext: m.w.net.Dialer(m.id), MaxConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for {
		var rep protocol.Report
		var resumed chan struct{}
		var node, addr string
		boots := 0
		every := m.w.setup.ReportEvery
		if !m.w.loop.do(func() {
			if resumed = m.resumed; m.hung || m.dead {
				return
			}
			rep, boots = m.snapshot(), m.boots
			node = m.w.setup.Controllers[m.node]
			if addr = m.w.controllerAddrs[node]; m.mute {
				addr = "" // no connection can be opened
			} else {
				m.echo(rep)
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
		wait, poked := m.post(client, rep, boots, node, addr, every), (<-chan struct{})(m.poke)
		if wait < every { // it goes to another node, whatever happens meanwhile
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

// echo has a copy of a report come later, or kept, if that is the world's present trouble.
func (m *machine) echo(rep protocol.Report) {
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
			request(w.loop.ctx, c, http.MethodPost, "http://"+to+"/checkin", rep, reportAnswer) // nobody hears the answer
		}()
	})
}

// post sends a report and does what the answer says; it gives how long to wait until
// the next one.
func (m *machine) post(client *http.Client, rep protocol.Report, boots int, node, addr string, every time.Duration) (wait time.Duration) {
	sent := time.Now()
	status, body := 0, []byte(nil)
	if addr != "" {
		status, body = request(m.ctx, client, http.MethodPost, "http://"+addr+"/checkin", rep, reportAnswer)
	}
	deaf := false
	if m.w.loop.do(func() { deaf = m.deaf }); deaf {
		// The report came, its answer doesn't: it waits for it in vain.
		if status != 0 && !Sleep(m.ctx, reportAnswer-time.Since(sent)) {
			return nextNode
		}
		status = 0
	}
	wait = nextNode
	lost := false // it goes to another node
	m.w.loop.do(func() {
		next := (m.node + 1) % len(m.w.setup.Controllers)
		switch status {
		case http.StatusOK:
			var a protocol.ReportAnswer
			wait = every
			if json.Unmarshal(body, &a) != nil || a.Token < m.token || rep.Session != m.session || m.hung || m.dead || boots != m.boots {
				return
			}
			if a.Token > m.token && time.Since(m.told) >= m.w.setup.Lease/2 {
				m.told = time.Now()
				m.say()
			}
			m.token, m.renewed = a.Token, sent
			m.obey(a.Commands, m.w.Elapsed())
			return
		case http.StatusMisdirectedRequest:
			var red protocol.Redirect
			if json.Unmarshal(body, &red) == nil && red.Node != "" && red.Node != node {
				if at := slices.Index(m.w.setup.Controllers, red.Node); at >= 0 {
					next, wait = at, redirected
				}
			}
		}
		m.node = next
		lost = true
	})
	if lost {
		// Not on the world's goroutine: closing waits for the network, which asks the world
		// for zones while one is cut. Each waited for the other (incident emulator-cut-stall).
		client.CloseIdleConnections()
	}
	return wait
}

// request makes one bounded request; status 0 is no answer.
func request(ctx context.Context, c *http.Client, method, url string, body any, timeout time.Duration) (status int, raw []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, err := transport.Call(ctx, c, method, url, body)
	if err != nil {
		return 0, nil
	}
	return status, raw
}
