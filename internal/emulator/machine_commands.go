package emulator

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"daledyke/internal/protocol"
)

// Direct commands to a worker and their execution.

// doWhenResponsive runs f on the loop once the machine responds: requests that arrive while it is frozen are
// carried out late. A machine that is gone does not answer.
func (m *machine) doWhenResponsive(f func()) {
	for {
		var resumed chan struct{}
		lost := false
		gone := !m.w.loop.do(func() {
			resumed, lost = m.resumed, m.inboundDropped && !m.inboundHeld
			if !m.frozen && !m.inboundDropped && !m.dead {
				f()
				resumed = nil
			}
		})
		if resumed == nil && !gone {
			return
		}
		if lost { // the request is lost and gets no answer
			Sleep(m.ctx, reportTimeout)
		}
		if gone || lost || m.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-resumed:
		case <-m.ctx.Done():
		}
	}
}

func (m *machine) inspect(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var rep protocol.Report
	m.doWhenResponsive(func() { rep = m.snapshot() })
	answer(w, http.StatusOK, rep)
}

func (m *machine) do(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o protocol.Orders
	if r.ContentLength > protocol.MaxBody {
		m.recordOversized("direct command", int(r.ContentLength))
	}
	if read(r, &o) != nil || o.Session == 0 {
		answer(w, http.StatusBadRequest, problem("baton or shift is missing"))
		return
	}
	var rep protocol.Report
	sent := m.w.Elapsed() // the network has no latency
	held := false
	if m.w.loop.do(func() {
		if held = m.w.delayedCommandShare > 0 && m.w.rng.Float64() < m.w.delayedCommandShare; held {
			m.w.loop.after(time.Duration(m.w.uniform(2, 16)*float64(time.Second)), func() {
				if !m.frozen && !m.inboundDropped && !m.dead && o.Token >= m.token && o.Session == m.session {
					m.noteToken(o.Token)
					m.execute(o.Commands, sent)
				}
			})
		}
	}); held {
		Sleep(r.Context(), time.Minute)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	m.doWhenResponsive(func() {
		if o.Token < m.token || o.Session != m.session {
			status = http.StatusConflict
		} else {
			m.noteToken(o.Token)
			m.execute(o.Commands, sent)
		}
		rep = m.snapshot()
	})
	answer(w, status, rep)
}

// execute carries out commands in order; sent is when they were sent.
func (m *machine) execute(commands []protocol.Command, sent time.Duration) {
	for _, c := range commands {
		t := m.tasks[c.Task]
		switch {
		case c.Verb == protocol.VerbStart && (t == nil || t.Attempt != c.Attempt):
			m.startTask(c, t, sent)
		case t == nil || t.Attempt != c.Attempt:
		case c.Verb == protocol.VerbStop:
			t.stop(c.GraceS)
		case c.Verb == protocol.VerbForget && t.State == protocol.TaskExited:
			delete(m.tasks, c.Task)
		}
	}
	if len(commands) > 0 {
		m.triggerReport()
	}
}
