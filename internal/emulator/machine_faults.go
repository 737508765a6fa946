package emulator

import (
	"time"

	"daledyke/internal/history"
)

// Faults and lifecycle events of machines.

// remove makes the cloud remove the machine.
func (m *machine) vanish(why string) {
	if m.unlisted != nil {
		return
	}
	m.stop()
	if m.charged {
		m.w.charge(m, -1)
	}
	at := time.Now().Add(m.w.lag())
	m.unlisted = &at
	delete(m.w.machines, m.id)
	m.w.note(history.Event{Kind: history.MachineGone, Machine: m.id, Cause: why})
}

// crash stops the machine without the cloud's doing; it remains listed until it is deleted.
func (m *machine) fail() {
	if m.dead {
		return
	}
	m.stop()
	m.w.charge(m, -1)
	now := time.Now()
	m.failed = &now
	m.w.note(history.Event{Kind: history.MachineGone, Machine: m.id, Cause: "died"})
}

func (m *machine) hang() {
	if m.hung {
		return
	}
	if m.hung = true; !m.deaf {
		m.resumed = make(chan struct{})
	}
	for _, t := range m.sorted() {
		t.pause()
	}
	m.fetchOn()
}

func (m *machine) resume() {
	if !m.hung {
		return
	}
	if m.hung = false; !m.deaf {
		close(m.resumed)
	}
	m.fetchedTo = time.Now()
	for _, t := range m.sorted() {
		t.goOn()
	}
	m.fetchOn()
	m.say()
}

// dropInbound drops or holds all messages to the machine; its own messages are still sent.
func (m *machine) deafen(held bool) {
	if m.held = held; m.deaf {
		return
	}
	if m.deaf = true; !m.hung {
		m.resumed = make(chan struct{})
	}
}

func (m *machine) hear() {
	if !m.deaf {
		return
	}
	if m.deaf = false; !m.hung {
		close(m.resumed)
	}
}

// reboot restarts the machine at once at the same address: its tasks are lost, and the worker restarts
// without its session, ticket and token.
func (m *machine) reboot() {
	m.clear()
	m.fetches, m.images = nil, nil
	m.session, m.ticket, m.token = 1, 0, 0
	m.renewed, m.told, m.node = time.Now(), time.Time{}, 0
	m.boots++
	m.say()
}

// slowDown changes the machine's speed while its tasks run.
func (m *machine) slowDown(factor float64) {
	running := m.sorted()
	for _, t := range running {
		t.pause()
	}
	m.speed *= factor
	for _, t := range running {
		t.goOn()
	}
}
