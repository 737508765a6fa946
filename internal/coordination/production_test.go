package coordination

import (
	"bytes"
	"encoding/gob"
	"os"
	"reflect"
	"testing"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// The messages that siblings of the production version send and understand. The types below are those of that
// version; testdata/production-rpc.txt states where the bytes are from.

type (
	productionTask struct {
		Task    string
		Attempt uint64
		State   string
		Cause   string
		Saved   bool
	}
	productionMachine struct {
		ID, Type, Zone string
		Spot           bool
		Slot           int
		Term           uint64
		Free           struct{ Cores, Accels, RAM float64 }
		Usable         bool
		Silent         bool
		Suspect        bool
		Failed         []string
		Sound          bool
		Leaving        bool
		Drained        uint64
		Images         []string
		Pulling        []string
		Tasks          []productionTask
	}
	productionReply struct {
		Incarnation uint64
		Version     uint64
		Full        bool
		Window      uint64
		Valid       bool
		Slots       []struct {
			Slot     int
			Term     uint64
			Complete bool
			Awaited  []string
		}
		Machines []productionMachine
		Gone     []string
	}
	productionAsk struct {
		Caller string
		ID     uint64
		Window uint64
		Starts []struct {
			Task    string
			Attempt uint64
			Machine string
			Evict   []string
			Reserve bool
		}
		Stops []struct {
			Task    string
			Attempt uint64
			Machine string
			GraceS  float64
			Forget  bool
		}
	}
)

var (
	someArgs  = FeedArgs{Caller: "c1", Fence: 12884901893, Window: 7, Incarnation: 3, Since: 41, WaitMs: 2000}
	someReply = board.News{Incarnation: 3, Version: 42, Full: true, Window: 7, Valid: true,
		Slots: []board.SlotView{{Slot: 2, Term: 5, Complete: true, Awaited: []string{"host-000004"}}},
		Machines: []board.MachineView{{ID: "host-000001", Type: "small", Zone: "a", Spot: true, Slot: 1, Term: 5, Free: protocol.Room{Cores: 4, Accels: 1, RAM: 16},
			Usable: true, Silent: true, Suspect: true, Failed: []string{"wk-9"}, Sound: true, Leaving: true, Drained: 77, Images: []string{"img"},
			Pulling: []string{"img2"}, Tasks: []board.TaskView{{Task: "wk-1/0", Attempt: 12884901889, State: "running"},
				{Task: "wk-2/1", Attempt: 12884901890, State: "exited", Cause: "halted", Saved: true}}}},
		Gone: []string{"host-000003"}}
	someAsk = AskArgs{Caller: "c1", ID: 12884901894, Window: 7,
		Starts: []Start{{Task: "wk-1/1", Attempt: 9, Machine: "host-000001", Evict: []string{"wk-8/0"}, Reserve: true}},
		Stops:  []Stop{{Task: "wk-1/0", Attempt: 8, Machine: "host-000002", GraceS: 4, Forget: true}}}
	someAnswer = AskReply{Incarnation: 3, Version: 43, Refused: []string{"no room"}}
	someDrain  = DrainArgs{Caller: "c1", Wish: 99, Machines: []string{"host-000001"}}
)

func TestDecodeProductionMessages(t *testing.T) {
	raw, err := os.ReadFile("testdata/production-rpc.gob")
	if err != nil {
		t.Fatal(err)
	}
	d := gob.NewDecoder(bytes.NewReader(raw))
	for _, want := range []any{&someArgs, &someReply, &someAsk, &someAnswer, &someDrain} {
		got := reflect.New(reflect.TypeOf(want).Elem())
		if err := d.DecodeValue(got); err != nil || !reflect.DeepEqual(got.Interface(), want) {
			t.Errorf("read as %+v, %v; want %+v", got, err, want)
		}
	}
}

func TestProductionDecodesCurrentMessages(t *testing.T) {
	var b bytes.Buffer
	e, d := gob.NewEncoder(&b), gob.NewDecoder(&b)
	var reply productionReply
	var ask productionAsk
	for _, x := range []struct{ sent, read any }{{someReply, &reply}, {someAsk, &ask}} {
		if err := e.Encode(x.sent); err != nil {
			t.Fatal(err)
		}
		if err := d.Decode(x.read); err != nil {
			t.Fatal(err)
		}
	}
	if m := reply.Machines[0]; m.Free.RAM != 16 || m.Drained != 77 || m.Tasks[1].Cause != "halted" || !m.Tasks[1].Saved || !reply.Slots[0].Complete || reply.Window != 7 {
		t.Errorf("the production version reads the news as %+v", reply)
	}
	if s := ask.Starts[0]; s.Task != "wk-1/1" || s.Attempt != 9 || !s.Reserve || s.Evict[0] != "wk-8/0" || !ask.Stops[0].Forget || ask.ID != 12884901894 {
		t.Errorf("the production version reads the request as %+v", ask)
	}
	// The older version decides by these states; no new state may be added to them.
	if words := []string{board.TaskReserved, board.TaskQueued, board.TaskStarting}; !reflect.DeepEqual(words, []string{"reserved", "queued", "starting"}) {
		t.Errorf("%v", words)
	}
}
