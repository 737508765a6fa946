package history

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// StateOp is one request to the state service as its sender saw it: a transaction on a
// few keys, or a reading of one. Return is zero if no answer came: it may have been
// carried out at any time after Call, or never.
type StateOp struct {
	Client       int
	Call, Return time.Duration
	// If are the versions that a transaction demanded, Set the values that it sets ("" drops
	// the key). A reading has neither, and Read names its key.
	If   map[string]uint64
	Set  map[string]string
	Read string
	// OK: the conditions held, or the key that was read was there.
	OK bool
	// Revision is that of the answer; of a reading, the key's version. Value is what was read.
	Revision uint64
	Value    string
}

// stateValue is what a key holds in the model.
type stateValue struct {
	value   string
	version uint64
}

// stateModel is the state service in a few lines.
type stateModel struct {
	keys     map[string]stateValue
	revision uint64
}

func (m stateModel) step(op StateOp) (stateModel, bool) {
	answered := op.Return != 0
	if op.Read != "" {
		at, there := m.keys[op.Read]
		return m, !answered || there == op.OK && (!there || at.version == op.Revision && at.value == op.Value)
	}
	held := true
	for key, version := range op.If {
		held = held && m.keys[key].version == version
	}
	if answered && held != op.OK {
		return m, false
	}
	if !held {
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

// never is later than anything in a history.
const never = time.Duration(1) << 60

// Linearizable tells whether the answers are those of one store that does one request
// after the other, each at a moment between its call and its answer. It gives up after a
// while, with an error.
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
		if end == 0 { // its sender never heard: it is another client from then on
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
	return false, fmt.Errorf("not decided within %v", within)
}
