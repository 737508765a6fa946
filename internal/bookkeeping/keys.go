// Package bookkeeping keeps what daledyke remembers: the records in the state
// service and each controller's replica of them. Only here are keys named.
package bookkeeping

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"daledyke/internal/protocol"
)

// Root is the prefix of every key that daledyke owns.
const Root = "d/"

const (
	keyTerm       = Root + "term"
	keyLeader     = Root + "leader"
	keyWindow     = Root + "window"
	keyCatalog    = Root + "catalog"
	jobPrefix     = Root + "j/"
	overPrefix    = Root + "z/" // sorts last: a controller that starts stops there
	resultPrefix  = Root + "r/"
	partPrefix    = Root + "p/" // of descriptions that are too large for one value
	catalogPrefix = keyCatalog + "/"
	memberPrefix  = Root + "m/"
	slotPrefix    = Root + "s/"
	batchPrefix   = Root + "l/"
	keyQuotas     = Root + "quotas"
	quotaPrefix   = keyQuotas + "/" // the parts of accounts
)

func jobKey(id string) string                 { return jobPrefix + id }
func overKey(id string) string                { return overPrefix + id }
func resultKey(id string, chunk int) string   { return fmt.Sprintf("%s%s/%d", resultPrefix, id, chunk) }
func partKeys(id, sum string) string          { return partPrefix + id + "/" + sum + "/" }
func partKey(id, sum string, part int) string { return fmt.Sprintf("%s%03d", partKeys(id, sum), part) }
func memberKey(name string) string            { return memberPrefix + name }
func slotKey(slot int) string                 { return fmt.Sprintf("%s%d", slotPrefix, slot) }
func batchKey(name string) string             { return batchPrefix + name }

// kinds are the kinds of records, as operators are told of them, by how their
// keys begin.
var kinds = []struct{ prefix, name string }{
	{keyTerm, "term"}, {keyLeader, "leader"}, {keyWindow, "window"}, {keyCatalog, "catalogue"}, {jobPrefix, "job"},
	{overPrefix, "over"}, {resultPrefix, "result"}, {partPrefix, "part"}, {memberPrefix, "session"}, {slotPrefix, "slot"}, {batchPrefix, "lot"}, {keyQuotas, "quotas"},
}

// kindOf tells what kind of record a key holds.
func kindOf(key string) string {
	for _, k := range kinds {
		if strings.HasPrefix(key, k.prefix) {
			return k.name
		}
	}
	return kinds[len(kinds)-1].name // there is no other
}

func under(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }

// Counter is the value of the term counter.
type Counter struct {
	Term uint64 `json:"term"`
}

// Member is a controller's session; it lives as long as its lease.
type Member struct {
	// Term is the incarnation of the process: a new process takes a new one.
	Term uint64 `json:"term"`
	// WorkersUnreachable asks that no workers be assigned to this controller for now.
	WorkersUnreachable bool `json:"deaf,omitempty"`
	// Generation is what the process understands, see Generation; a version
	// that has none is of the first.
	Generation int `json:"gen,omitempty"`
	// Version is the record's version, not part of its value.
	Version uint64 `json:"-"`
}

// Generation is what this version understands of records: 2 with chains of
// jobs, which a process of the first would run at once, 3 with jobs that are held, 4
// (GenerationBlocks) with large jobs that several owners place, 5 (GenerationApart) with jobs
// of limited teams that stand apart since they take nothing that is limited, 6
// (GenerationPromises) with promises not to take slots, 7 (GenerationLonger) with longer ones, 8
// (GenerationAnnounced) with cancellations that are announced to siblings.
const (
	Generation          = GenerationAnnounced
	GenerationBlocks    = 4
	GenerationApart     = 5
	GenerationPromises  = 6
	GenerationLonger    = 7
	GenerationAnnounced = 8
)

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
	// Roster are the slot's machines on which tasks may have been started.
	Roster Roster `json:"up,omitempty"`
	// Listed: the record was written by a version that keeps rosters.
	Listed bool `json:"listed,omitempty"`
	// Packed is the roster in a smaller form, where it would be too large for a
	// value, and Unlisted says then that no roster was kept; see packed.
	Packed   []byte `json:"packed,omitempty"`
	Unlisted bool   `json:"unlisted,omitempty"`
	Version  uint64 `json:"-"`
}

// Roster is a set of machines by their numbers. In a record it is the list of
// the steps between them, which keeps even a large fleet within a value.
type Roster map[uint64]bool

// MarshalJSON writes the steps.
func (r Roster) MarshalJSON() ([]byte, error) {
	numbers := slices.Sorted(maps.Keys(r))
	last := uint64(0)
	for i, n := range numbers {
		numbers[i], last = n-last, n
	}
	return json.Marshal(numbers)
}

// UnmarshalJSON reads the steps.
func (r *Roster) UnmarshalJSON(raw []byte) error {
	var steps []uint64
	if err := json.Unmarshal(raw, &steps); err != nil {
		return err
	}
	*r = make(Roster, len(steps))
	last := uint64(0)
	for _, s := range steps {
		last += s
		(*r)[last] = true
	}
	return nil
}

// Window is one numbered division of the ring and one assignment of the workers.
type Window struct {
	Number uint64 `json:"n"`
	// StartMs is when it begins, by the time of day.
	StartMs int64 `json:"startMs"`
	// Owners hold equal ranges of the ring, in this order.
	Owners []string `json:"owners"`
	// Assignment names the wanted holder of each slot.
	Assignment []string `json:"deal"`
	// Moved are the slots that are not assigned to their home for balance alone. A version
	// before balance knows nothing of it, and assigns them home again when it leads.
	Moved []int `json:"moved,omitempty"`
	// Divided: blocks of large jobs have owners of their own (Job.Blocks). A version
	// before blocks doesn't know of it: it is set once every controller of the
	// deployment was seen to.
	Divided bool `json:"blocks,omitempty"`
	// Apart: jobs that take nothing of what their team is limited in have places of their own
	// (Seat.Joint). It is set like Divided, once all know of it.
	Apart   bool   `json:"apart,omitempty"`
	Version uint64 `json:"-"`
}

// Owner is the controller in whose range a token lies, "" if there is none.
func (w *Window) Owner(token int64) string {
	if w == nil || len(w.Owners) == 0 {
		return ""
	}
	return w.Owners[protocol.RingShare(token, len(w.Owners))]
}

// OwnerOf is the controller that places a task of a job, "" if there is none.
func (w *Window) OwnerOf(j *Job, index int) string { return w.OwnerOfBlock(j, j.BlockOf(index)) }

// OwnerOfBlock is the controller that places a block of a job's tasks. That of the first
// block is the job's own owner, who also records its results and ends it.
func (w *Window) OwnerOfBlock(j *Job, block int) string {
	if j.Joint && (w == nil || !w.Apart) {
		return w.Owner(j.JointToken)
	}
	if w == nil || !w.Divided || j.Blocks <= 1 {
		return w.Owner(j.Token)
	}
	return w.Owner(j.BlockToken(block))
}

// SameOwners tells whether every task has the same owner in both windows.
func (w *Window) SameOwners(o *Window) bool {
	return slices.Equal(w.Owners, o.Owners) && w.Divided == o.Divided && w.Apart == o.Apart
}

// Machine is a rented machine in the registry. It is there before the first
// task is started on the machine, and goes once the machine is known to be
// gone for good.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	RentedMs       int64
}

// Number is the machine's number, which deals it to a slot.
func (m *Machine) Number() uint64 { return protocol.MachineNumber(m.ID) }

// RentalBatch is a registry record: machines that were rented, or found, together.
// One record for a whole rental keeps a large fleet within the state
// service's budget of writes.
type RentalBatch struct {
	Type     string   `json:"type"`
	Zone     string   `json:"zone"`
	Spot     bool     `json:"spot,omitempty"`
	RentedMs int64    `json:"at"`
	Machines []string `json:"ids"`
	Version  uint64   `json:"-"`
}

// Machine is one of the batch's machines.
func (l *RentalBatch) Machine(id string) *Machine {
	return &Machine{ID: id, Type: l.Type, Zone: l.Zone, Spot: l.Spot, RentedMs: l.RentedMs}
}

// RentalBatches sorts machines into batches of those that are alike, none larger than a
// rental can be.
func RentalBatches(ms []Machine) []RentalBatch {
	var out []RentalBatch
	open := map[Machine]int{}
	for _, m := range ms {
		kind := Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		i, ok := open[kind]
		if !ok || len(out[i].Machines) >= protocol.MaxRent {
			i = len(out)
			open[kind] = i
			out = append(out, RentalBatch{Type: m.Type, Zone: m.Zone, Spot: m.Spot, RentedMs: m.RentedMs})
		}
		out[i].Machines = append(out[i].Machines, m.ID)
	}
	return out
}
