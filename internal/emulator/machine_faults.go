package emulator

import (
	"time"

	"daledyke/internal/history"
)

// Faults and lifecycle events of machines.

// remove makes the cloud remove the machine.
func (m *machine) remove(why string) {
	if m.unlistedFrom != nil {
		return
	}
	m.shutDown()
	if m.charged {
		m.w.setCharged(m, -1)
	}
	at := time.Now().Add(m.w.listLag())
	m.unlistedFrom = &at
	delete(m.w.machines, m.id)
	m.w.record(history.Event{Kind: history.MachineGone, Machine: m.id, Cause: why})
}

// crash stops the machine without the cloud's doing; it remains listed until it is deleted.
func (m *machine) crash() {
	if m.dead {
		return
	}
	m.shutDown()
	m.w.setCharged(m, -1)
	now := time.Now()
	m.failedAt = &now
	m.w.record(history.Event{Kind: history.MachineGone, Machine: m.id, Cause: "died"})
}

func (m *machine) freeze() {
	if m.frozen {
		return
	}
	if m.frozen = true; !m.inboundDropped {
		m.resumed = make(chan struct{})
	}
	for _, t := range m.sortedTasks() {
		t.pause()
	}
	m.advanceFetches()
}

func (m *machine) resume() {
	if !m.frozen {
		return
	}
	if m.frozen = false; !m.inboundDropped {
		close(m.resumed)
	}
	m.fetchedTo = time.Now()
	for _, t := range m.sortedTasks() {
		t.resume()
	}
	m.advanceFetches()
	m.triggerReport()
}

// dropInbound drops or holds all messages to the machine; its own messages are still sent.
func (m *machine) dropInbound(held bool) {
	if m.inboundHeld = held; m.inboundDropped {
		return
	}
	if m.inboundDropped = true; !m.frozen {
		m.resumed = make(chan struct{})
	}
}

func (m *machine) restoreInbound() {
	if !m.inboundDropped {
		return
	}
	if m.inboundDropped = false; !m.frozen {
		close(m.resumed)
	}
}

// reboot restarts the machine at once at the same address: its tasks are lost, and the worker restarts
// without its session, ticket and token.
func (m *machine) reboot() {
	m.clearTasks()
	m.fetches, m.images = nil, nil
	m.session, m.ticket, m.token = 1, 0, 0
	m.renewedAt, m.triggeredAt, m.controller = time.Now(), time.Time{}, 0
	m.reboots++
	m.triggerReport()
}

// slowDown changes the machine's speed while its tasks run.
func (m *machine) slowDown(factor float64) {
	running := m.sortedTasks()
	for _, t := range running {
		t.pause()
	}
	m.speed *= factor
	for _, t := range running {
		t.resume()
	}
}
