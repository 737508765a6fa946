package history

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// StateOp is one request to the state service as its client saw it: a transaction on a few keys, or a read
// of one key. Return is zero if no answer came: the request may have been applied at any time after Call,
// or never.
type StateOp struct {
	Client       int
	Call, Return time.Duration
	// If holds the versions that a transaction required, Set the values that it sets ("" drops the key). A
	// read has neither; Read is its key.
	If   map[string]uint64
	Set  map[string]string
	Read string
	// OK reports whether the conditions held, or whether the key that was read existed.
	OK bool
	// Revision is the revision of the answer, or the key's version for a read. Value is what was read.
	Revision uint64
	Value    string
}

// stateValue is the value of a key in the model.
type stateValue struct {
	value   string
	version uint64
}

// stateModel is a sequential model of the state service.
type stateModel struct {
	keys     map[string]stateValue
	revision uint64
}

func (m stateModel) step(op StateOp) (stateModel, bool) {
	answered := op.Return != 0
	if op.Read != "" {
		at, exists := m.keys[op.Read]
		return m, !answered || exists == op.OK && (!exists || at.version == op.Revision && at.value == op.Value)
	}
	holds := true
	for key, version := range op.If {
		holds = holds && m.keys[key].version == version
	}
	if answered && holds != op.OK {
		return m, false
	}
	if !holds {
		return m, true
	}
	if len(op.Set) == 0 {
		return m, !answered || op.Revision == m.revision
	}
	next := stateModel{make(map[string]stateValue, len(m.keys)+len(op.Set)), m.revision + 1}
	maps.Copy(next.keys, m.keys)
	for key, value := range op.Set {
		if value == "" {
			delete(next.keys, key)
		} else {
			next.keys[key] = stateValue{value, next.revision}
		}
	}
	return next, !answered || op.Revision == next.revision
}

// never is later than any time in a history.
const never = time.Duration(1) << 60

// Linearizable reports whether the answers match a single store that applies one request at a time, each
// at some moment between its call and its return. It returns an error if the check exceeds the time limit.
func Linearizable(ops []StateOp, within time.Duration) (bool, error) {
	model := porcupine.Model{
		Init: func() any { return stateModel{} },
		Step: func(state, in, _ any) (bool, any) {
			next, ok := state.(stateModel).step(in.(StateOp))
			return ok, next
		},
		Equal: func(a, b any) bool {
			x, y := a.(stateModel), b.(stateModel)
			return x.revision == y.revision && maps.Equal(x.keys, y.keys)
		},
		DescribeOperation: func(in, _ any) string { return fmt.Sprintf("%+v", in) },
	}
	var events []porcupine.Operation
	for i, op := range ops {
		end := op.Return
		if end == 0 { // no answer came: the operation overlaps all later ones, its client's included
			end = never + time.Duration(i)
		}
		events = append(events, porcupine.Operation{ClientId: op.Client, Input: op, Call: int64(op.Call), Return: int64(end)})
	}
	slices.SortStableFunc(events, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	switch porcupine.CheckOperationsTimeout(model, events, within) {
	case porcupine.Ok:
		return true, nil
	case porcupine.Illegal:
		return false, nil
	}
	return false, fmt.Errorf("linearizability not decided within %v", within)
}
