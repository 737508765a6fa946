// Package bookkeeping holds the records that daledyke keeps in the state service, and each controller's
// replica of them. No other package names keys of the state service.
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
	archivePrefix = Root + "z/" // sorts last, so that a starting controller can skip these records
	resultPrefix  = Root + "r/"
	partPrefix    = Root + "p/" // parts of job descriptions that are too large for one value
	catalogPrefix = keyCatalog + "/"
	memberPrefix  = Root + "m/"
	slotPrefix    = Root + "s/"
	batchPrefix   = Root + "l/"
	keyQuotas     = Root + "quotas"
	quotaPrefix   = keyQuotas + "/" // parts of the quota accounts
)

func jobKey(id string) string               { return jobPrefix + id }
func archiveKey(id string) string           { return archivePrefix + id }
func resultKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", resultPrefix, id, chunk) }
func partKeyPrefix(id, sum string) string   { return partPrefix + id + "/" + sum + "/" }
func partKey(id, sum string, part int) string {
	return fmt.Sprintf("%s%03d", partKeyPrefix(id, sum), part)
}
func memberKey(name string) string { return memberPrefix + name }
func slotKey(slot int) string      { return fmt.Sprintf("%s%d", slotPrefix, slot) }
func batchKey(name string) string  { return batchPrefix + name }

// recordKinds maps key prefixes to the kinds of records that operators see in metrics.
var recordKinds = []struct{ prefix, name string }{
	{keyTerm, "term"}, {keyLeader, "leader"}, {keyWindow, "window"}, {keyCatalog, "catalogue"}, {jobPrefix, "job"},
	{archivePrefix, "over"}, {resultPrefix, "result"}, {partPrefix, "part"}, {memberPrefix, "session"}, {slotPrefix, "slot"}, {batchPrefix, "lot"}, {keyQuotas, "quotas"},
}

// recordKind returns the kind of record that a key holds.
func recordKind(key string) string {
	for _, k := range recordKinds {
		if strings.HasPrefix(key, k.prefix) {
			return k.name
		}
	}
	return recordKinds[len(recordKinds)-1].name // the last entry covers all remaining keys
}

// keySuffix returns the part of a key after the prefix, and whether the key has the prefix.
func keySuffix(key, prefix string) (string, bool) { return strings.CutPrefix(key, prefix) }

// TermCounter is the value of the term counter.
type TermCounter struct {
	Term uint64 `json:"term"`
}

// Member is a controller's session record; it exists as long as the session's lease.
type Member struct {
	// Term is the incarnation of the process: each new process takes a new term.
	Term uint64 `json:"term"`
	// WorkersUnreachable requests that no workers be assigned to this controller for now.
	WorkersUnreachable bool `json:"deaf,omitempty"`
	// Generation is the generation of records that the process understands, see the constant Generation.
	// Versions that leave it out are of the first generation.
	Generation int `json:"gen,omitempty"`
	// Version is the version of the stored record; it is not part of the value.
	Version uint64 `json:"-"`
}

// Generation is the generation of records that this version understands:
//   - 2: job dependencies; a process of generation 1 would start dependent jobs at once
//   - 3: held jobs
//   - 4 (GenerationBlocks): large jobs that several owners place
//   - 5 (GenerationOwnPositions): jobs of limited teams that use nothing limited have their own ring position
//   - 6 (GenerationPromises): promises not to take slots
//   - 7 (GenerationLongPromises): longer promises
//   - 8 (GenerationCancelNotices): cancellations are announced to siblings
const (
	Generation              = GenerationCancelNotices
	GenerationBlocks        = 4
	GenerationOwnPositions  = 5
	GenerationPromises      = 6
	GenerationLongPromises  = 7
	GenerationCancelNotices = 8
)

// Leader names the current leader.
type Leader struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Version uint64 `json:"-"`
}

// Slot records the holder of a slot, that is of a share of the workers, and the term it holds the slot under.
type Slot struct {
	Holder string `json:"holder"`
	// Incarnation is the holder's own term; Term is the term of the slot, which the slot's tokens carry.
	Incarnation uint64 `json:"inc"`
	Term        uint64 `json:"term"`
	// Roster is the set of machines of the slot on which tasks may have been started.
	Roster Roster `json:"up,omitempty"`
	// RosterKnown: the record was written by a version that keeps rosters.
	RosterKnown bool `json:"listed,omitempty"`
	// PackedRoster replaces Roster if the record would be too large for one value. RosterUnknown then means
	// that no roster was kept. See packRoster.
	PackedRoster  []byte `json:"packed,omitempty"`
	RosterUnknown bool   `json:"unlisted,omitempty"`
	Version       uint64 `json:"-"`
}

// Roster is a set of machine numbers. It is encoded as the list of differences between successive numbers,
// so that even a large fleet fits into one value.
type Roster map[uint64]bool

// MarshalJSON encodes the differences between successive machine numbers.
func (r Roster) MarshalJSON() ([]byte, error) {
	numbers := slices.Sorted(maps.Keys(r))
	last := uint64(0)
	for i, n := range numbers {
		numbers[i], last = n-last, n
	}
	return json.Marshal(numbers)
}

// UnmarshalJSON decodes the differences between successive machine numbers.
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

// Window is one numbered division of the ring among owners, with one assignment of the slots to holders.
type Window struct {
	Number uint64 `json:"n"`
	// StartMs is when the window begins, in milliseconds of Unix time.
	StartMs int64 `json:"startMs"`
	// Owners hold equal ranges of the ring, in this order.
	Owners []string `json:"owners"`
	// Assignment names the intended holder of each slot.
	Assignment []string `json:"deal"`
	// Moved lists the slots that are assigned away from their home only to balance load. A version that does
	// not know balancing ignores this field, and assigns these slots to their homes when it leads.
	Moved []int `json:"moved,omitempty"`
	// BlockOwners: each block of a large job has its own owner (Job.Blocks). Versions that don't know blocks
	// ignore this field, so it is set only once every controller of the deployment is known to support it.
	BlockOwners bool `json:"blocks,omitempty"`
	// OwnPositions: jobs that use nothing their team is limited in have their own ring positions
	// (RingPosition.TeamFallback). Like BlockOwners, it is set once all controllers support it.
	OwnPositions bool   `json:"apart,omitempty"`
	Version      uint64 `json:"-"`
}

// Owner returns the controller whose range contains the token, "" if there is none.
func (w *Window) Owner(token int64) string {
	if w == nil || len(w.Owners) == 0 {
		return ""
	}
	return w.Owners[protocol.RingShare(token, len(w.Owners))]
}

// OwnerOf returns the controller that places a task of a job, "" if there is none.
func (w *Window) OwnerOf(j *Job, index int) string { return w.OwnerOfBlock(j, j.BlockOf(index)) }

// OwnerOfBlock returns the controller that places a block of a job's tasks. The owner of the first block is
// the job's owner: it also records the job's results and ends the job.
func (w *Window) OwnerOfBlock(j *Job, block int) string {
	if j.TeamFallback && (w == nil || !w.OwnPositions) {
		return w.Owner(j.TeamToken)
	}
	if w == nil || !w.BlockOwners || j.Blocks <= 1 {
		return w.Owner(j.Token)
	}
	return w.Owner(j.BlockToken(block))
}

// SameOwners reports whether every task has the same owner in both windows.
func (w *Window) SameOwners(other *Window) bool {
	return slices.Equal(w.Owners, other.Owners) && w.BlockOwners == other.BlockOwners && w.OwnPositions == other.OwnPositions
}

// Machine is a rented machine in the registry. It is registered before the first task starts on it, and
// removed once the machine is known to be gone for good.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	RentedMs       int64
}

// Number is the machine's number, which determines its slot.
func (m *Machine) Number() uint64 { return protocol.MachineNumber(m.ID) }

// RentalBatch is a registry record of machines that were rented or found together. One record for a whole
// rental keeps a large fleet within the write budget of the state service.
type RentalBatch struct {
	Type     string   `json:"type"`
	Zone     string   `json:"zone"`
	Spot     bool     `json:"spot,omitempty"`
	RentedMs int64    `json:"at"`
	Machines []string `json:"ids"`
	Version  uint64   `json:"-"`
}

// Machine returns one machine of the batch.
func (b *RentalBatch) Machine(id string) *Machine {
	return &Machine{ID: id, Type: b.Type, Zone: b.Zone, Spot: b.Spot, RentedMs: b.RentedMs}
}

// RentalBatches groups machines of the same type, zone and spot flag into batches of at most
// protocol.MaxRent machines.
func RentalBatches(ms []Machine) []RentalBatch {
	var out []RentalBatch
	openBatches := map[Machine]int{}
	for _, m := range ms {
		kind := Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		i, ok := openBatches[kind]
		if !ok || len(out[i].Machines) >= protocol.MaxRent {
			i = len(out)
			openBatches[kind] = i
			out = append(out, RentalBatch{Type: m.Type, Zone: m.Zone, Spot: m.Spot, RentedMs: m.RentedMs})
		}
		out[i].Machines = append(out[i].Machines, m.ID)
	}
	return out
}
