// Package bookkeeping keeps what daledyke remembers: the records in the state
// service and each controller's replica of them. Only here are keys named.
package bookkeeping

import (
	"fmt"
	"strings"

	"daledyke/internal/protocol"
)

// Root is the prefix of every key that daledyke owns.
const Root = "d/"

const (
	keyTerm      = Root + "term"
	keyLeader    = Root + "leader"
	keyWindow    = Root + "window"
	keyCatalog   = Root + "catalog"
	jobPrefix    = Root + "j/"
	resultPrefix = Root + "r/"
	memberPrefix = Root + "m/"
	slotPrefix   = Root + "s/"
	machPrefix   = Root + "w/"
)

func jobKey(id string) string               { return jobPrefix + id }
func resultKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", resultPrefix, id, chunk) }
func memberKey(name string) string          { return memberPrefix + name }
func slotKey(slot int) string               { return fmt.Sprintf("%s%d", slotPrefix, slot) }
func machineKey(id string) string           { return machPrefix + id }

func under(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }

// Counter is the value of the term counter.
type Counter struct {
	Term uint64 `json:"term"`
}

// Member is a controller's session; it lives as long as its lease.
type Member struct {
	// Term is the incarnation of the process: a new process takes a new one.
	Term uint64 `json:"term"`
	// Deaf asks that no workers be dealt to this controller for now.
	Deaf bool `json:"deaf,omitempty"`
	// Version is the record's version, not part of its value.
	Version uint64 `json:"-"`
}

// Leader names the controller that leads.
type Leader struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Version uint64 `json:"-"`
}

// Slot records who holds a share of the workers, and under what term.
type Slot struct {
	Holder string `json:"holder"`
	// Incarnation is the holder's own term; Term is the slot's, which its
	// tokens carry.
	Incarnation uint64 `json:"inc"`
	Term        uint64 `json:"term"`
	Version     uint64 `json:"-"`
}

// Window is one numbered division of the ring and one deal of the workers.
type Window struct {
	Number uint64 `json:"n"`
	// StartMs is when it begins, by the time of day.
	StartMs int64 `json:"startMs"`
	// Owners hold equal ranges of the ring, in this order.
	Owners []string `json:"owners"`
	// Deal names the wanted holder of each slot.
	Deal    []string `json:"deal"`
	Version uint64   `json:"-"`
}

// Owner is the controller in whose range a token lies, "" if there is none.
func (w *Window) Owner(token int64) string {
	if w == nil || len(w.Owners) == 0 {
		return ""
	}
	return w.Owners[protocol.RingShare(token, len(w.Owners))]
}

// Machine is the registry's entry of a rented machine. It is there before
// the first task is started on the machine, and goes once the machine is
// known to be gone for good.
type Machine struct {
	ID       string `json:"-"`
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot,omitempty"`
	RentedMs int64  `json:"at"`
	// Up: tasks may have been started on it.
	Up      bool   `json:"up,omitempty"`
	Version uint64 `json:"-"`
}
