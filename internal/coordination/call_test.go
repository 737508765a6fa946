package coordination

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Calls of actors whose context, or whose caller's context, ends meanwhile (docs/incidents/call-still-running.md).
// A call ends in one of two ways: its function has completed, or it never runs.

// endedCall is the result of a call that is made to end while its function is queued or runs.
type endedCall struct {
	callerEnds, actorEnds context.CancelFunc
	answered              chan bool
}

// startCall makes a call on an actor without a goroutine of its own, and returns once f is queued.
func startCall(f func()) (a actor, c endedCall) {
	actorContext, actorEnds := context.WithCancel(context.Background())
	callerContext, callerEnds := context.WithCancel(context.Background())
	a = newActor(actorContext)
	c = endedCall{callerEnds, actorEnds, make(chan bool, 1)}
	go func() { c.answered <- a.ask(callerContext, f) }()
	synctest.Wait()
	return a, c
}

// whoEnds names the two contexts whose end ends a call.
var whoEnds = map[string]func(c endedCall){
	"caller": func(c endedCall) { c.callerEnds() },
	"actor":  func(c endedCall) { c.actorEnds() },
}

// Guards against a call that returns while its function runs: the caller went on with variables that the
// function still wrote, a data race.
func TestCallWaitsForItsRunningFunction(t *testing.T) {
	for who, end := range whoEnds {
		t.Run(who, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				release, completed := make(chan struct{}), false
				a, c := startCall(func() { <-release; completed = true })
				go func() { (<-a.inbox)() }()
				synctest.Wait()
				end(c)
				synctest.Wait()
				select {
				case ok := <-c.answered:
					close(release)
					t.Fatalf("the call returned %v while its function ran", ok)
				default:
				}
				close(release)
				if ok := <-c.answered; !ok || !completed {
					t.Errorf("the call returned %v, completed: %v", ok, completed)
				}
			})
		})
	}
}

// Guards against a function that runs after its call returned false: callers take false for "it will never
// run", and report a request as void or use the function's variables again.
func TestFunctionOfEndedCallNeverRuns(t *testing.T) {
	for who, end := range whoEnds {
		t.Run(who, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ran := false
				a, c := startCall(func() { ran = true })
				end(c)
				if <-c.answered {
					t.Fatal("the call returned true though its function had not run")
				}
				(<-a.inbox)()
				if ran {
					t.Error("the function ran after its call had returned false")
				}
			})
		})
	}
}

// Guards against a call that returns false although its function completed, because a context ended by then.
func TestCompletedFunctionIsReported(t *testing.T) {
	for who, end := range whoEnds {
		t.Run(who, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c endedCall
				var a actor
				a, c = startCall(func() { end(c) })
				(<-a.inbox)()
				if !<-c.answered {
					t.Error("the function completed, yet the call returned false")
				}
			})
		})
	}
}

// Guards against a call that waits for ever: the actor has ended, and nothing runs what is in its inbox.
func TestCallOfEndedActorReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		a := newActor(ctx)
		cancel()
		for range 2 * cap(a.inbox) { // the inbox is full by half of them
			if a.ask(context.Background(), func() { t.Error("the function ran") }) {
				t.Fatal("the call returned true")
			}
			a.tell(func() {})
		}
	})
}

// unusedCloud is a cloud that must not be called.
func unusedCloud(t *testing.T) *transport.Cloud {
	return transport.NewCloud(func(ctx context.Context, network, address string) (net.Conn, error) {
		t.Error("the cloud was called")
		return refuseDial(ctx, network, address)
	}, "cloud:1", 10)
}

// Guards against the race of TestTraces/deaf-while-its-holder-crashes: the leader's controller ended while its
// actor gathered the machines to return, and returnMachines went on with the maps that the actor still wrote.
func TestEndedLeaderReturnsNoMachines(t *testing.T) {
	for name, gatherFirst := range map[string]bool{"call queued": false, "call running": true} {
		t.Run(name, func(t *testing.T) {
			withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
				ctx, cancel := context.WithCancel(context.Background())
				l := NewLeader(ctx, c, h.session, nil, unusedCloud(t), nil, nil)
				l.batches["b-1"] = &bookkeeping.RentalBatch{Machines: []string{"host-000004"}}
				returned := make(chan struct{})
				go func() {
					l.returnMachines([]string{"host-000004"})
					close(returned)
				}()
				synctest.Wait()
				gather := <-l.inbox
				cancel()
				if gatherFirst {
					gather()
				}
				<-returned
				if !gatherFirst {
					gather()
				}
			})
		})
	}
}

// Guards against a request that is reported as void and yet carried out: the holder's controller ended before
// the answer, and the owner would have started the request's tasks a second time elsewhere.
func TestRequestCarriedOutByEndingHolderIsNotVoid(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, _ *Holder, _ *heldSlot) {
		ctx, cancel := context.WithCancel(context.Background())
		h, _ := newTestHolder(ctx, c, refuseDial, 7, "host-000004")
		h.latestWindow = &bookkeeping.Window{Number: 1, Owners: []string{"c1"}}
		answered := make(chan error, 1)
		go func() {
			var reply AskReply
			answered <- HolderRPC{h}.Ask(AskArgs{Caller: "c1", ID: protocol.NewToken(1, 1), Window: 1}, &reply)
		}()
		synctest.Wait()
		request := <-h.inbox
		cancel()
		request()
		err := <-answered
		if carriedOut := h.window != nil; carriedOut != (err == nil) {
			t.Errorf("carried out: %v, answered: %v", carriedOut, err)
		}
	})
}

// Guards against a refusal that was none: a request that reaches an ended holder gets another error than a void
// one, and its owner takes the outcome for unknown.
func TestEndedHolderRefusesNothing(t *testing.T) {
	o, js := newTestOwner(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h := &Holder{actor: newActor(ctx)}
	var reply AskReply
	err := HolderRPC{h}.Ask(AskArgs{Caller: "c0"}, &reply)
	pending := &pendingStart{attempt: 1, holder: "c1"}
	js.pending[0] = pending
	request := &AskArgs{Starts: []Start{{Task: protocol.TaskName(js.job.Spec.ID, 0), Attempt: 1}}}
	o.handleReply("c1", request, []*pendingStart{pending}, &reply, err)
	if err == nil || js.pending[0] != pending || !pending.outcomeUnknown {
		t.Errorf("answered %v: pending %+v", err, js.pending[0])
	}
}

// Guards against a holder that knows nothing of its machines because it is slow: what a worker reports counts
// even if the worker no longer waits for the answer.
func TestReportOfWorkerThatGaveUpIsProcessed(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		ctx, hangUp := context.WithCancel(context.Background())
		answered := make(chan int, 1)
		go func() {
			status, _ := (&Controller{holder: h}).Report(ctx, testReport(1, 1, 0))
			answered <- status
		}()
		synctest.Wait()
		hangUp()
		if status := <-answered; status != http.StatusServiceUnavailable {
			t.Errorf("answered %d", status)
		}
		h.runQueuedAndTick()
		if h.workersByID["host-000004"] == nil {
			t.Error("the report was not processed")
		}
	})
}

// Guards against a cancellation that is never announced because users give up sooner than a slow holder answers.
func TestConfirmationIsPreparedThoughItsUserGaveUp(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		ctx, hangUp := context.WithCancel(context.Background())
		answered := make(chan bool, 1)
		go func() { answered <- h.confirmCancelled(ctx, "wk-1") }()
		synctest.Wait()
		hangUp()
		if <-answered {
			t.Error("confirmed before the holder was asked")
		}
		h.runQueuedAndTick()
		if !h.cancelled.Has("wk-1") {
			t.Error("the holder did not learn of the cancellation")
		}
	})
}
