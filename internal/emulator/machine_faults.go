package emulator

import (
	"time"

	"daledyke/internal/history"
)

// What can happen to a machine.

// vanish has the machine be gone, by the cloud's doing.
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
	m.w.record(history.Event{Kind: history.MachineGone, Machine: m.id, Cause: why})
}

// fail has the machine stop on its own: it stays listed until it is deleted.
func (m *machine) fail() {
	if m.dead {
		return
	}
	m.stop()
	m.w.charge(m, -1)
	now := time.Now()
	m.failed = &now
	m.w.record(history.Event{Kind: history.MachineGone, Machine: m.id, Cause: "died"})
}

func (m *machine) hang() {
	if m.hung {
		return
	}
	if m.hung = true; !m.deaf {
		m.resumed = make(chan struct{})
	}
	for _, t := range m.sortedTasks() {
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
	for _, t := range m.sortedTasks() {
		t.goOn()
	}
	m.fetchOn()
	m.say()
}

// deafen has nothing reach the machine any more, while its own messages go out.
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

// reboot has the machine begin anew within its address: what ran is gone, and the worker
// remembers nothing of its sessions, messages and tokens.
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
	running := m.sortedTasks()
	for _, t := range running {
		t.pause()
	}
	m.speed *= factor
	for _, t := range running {
		t.goOn()
	}
}
