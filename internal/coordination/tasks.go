package coordination

import (
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// What a worker's reports say of the tasks on its machine, and of the images there.

// forgetTasks drops the tasks that were on a machine and have surely ended.
func (h *Holder) forgetTasks(w *worker) {
	for _, e := range w.entries {
		if e.state != board.TaskReserved && e.state != board.TaskQueued {
			delete(w.entries, e.task)
		}
	}
}

// countedAttempts returns a report's tasks with one attempt of each. A worker that refuses a start because
// another attempt is there lists both: the attempt that is there counts, and among exited ones the one that
// completed.
func countedAttempts(reported []protocol.TaskReport) []protocol.TaskReport {
	rank := func(t *protocol.TaskReport) int {
		switch {
		case t.State != protocol.TaskExited:
			return 2
		case t.Cause == protocol.CauseDone:
			return 1
		}
		return 0
	}
	at := make(map[string]int, len(reported))
	counted := make([]protocol.TaskReport, 0, len(reported))
	for _, t := range reported {
		k, seen := at[t.Task]
		switch {
		case !seen:
			at[t.Task] = len(counted)
			counted = append(counted, t)
		case rank(&t) > rank(&counted[k]):
			counted[k] = t
		}
	}
	return counted
}

// applyTasks replaces what is known of a machine's tasks by a report; it reports whether that changed
// anything.
func (h *Holder) applyTasks(w *worker, rep *protocol.Report) (changed bool) {
	if !w.verified {
		w.verified = true
		delete(w.slot.awaited, w.id)
		h.updateCompleteness()
		changed = true
	}
	now := time.Now()
	listed := make(map[string]bool, len(rep.Tasks))
	for _, t := range countedAttempts(rep.Tasks) {
		listed[t.Task] = true
		e := w.entries[t.Task]
		if e != nil && e.attempt != t.Attempt {
			e = nil // the reported attempt counts, not the one recorded here
		}
		if e == nil {
			job, index, _ := protocol.SplitTask(t.Task)
			e = &entry{task: t.Task, job: job, index: index, attempt: t.Attempt}
			w.entries[t.Task] = e
		}
		if e.state != t.State {
			changed = true
			e.unanswered = false
			h.noteState(w, e, t)
		}
		if e.unconfirmed() {
			e.expiresAt = time.Time{} // it waits for room no longer
		}
		if t.Cause == protocol.CauseIncomplete && e.state != "" && !e.exited() {
			// Its owner decides whether its room is kept. If others got the room at once, the task would
			// start elsewhere and fetch its image there, and the other tasks of the gang would exit meanwhile
			// for the same reason.
			e.expiresAt = now.Add(incompleteRoomLifetime)
		}
		e.state, e.cause, e.saved, e.startToken = t.State, t.Cause, t.Saved, 0
		if e.state == protocol.TaskRunning && !e.proven && !e.runningSince.IsZero() && time.Since(e.runningSince) >= placement.ProvenAfter {
			e.proven = true
			h.noteSuccess(w)
		}
	}
	for name, e := range w.entries {
		switch {
		case listed[name] || e.state == board.TaskQueued || e.state == board.TaskReserved:
		case e.state == board.TaskStarting && rep.Token <= e.startToken:
			// The start may still be in flight (invariant 3).
		default:
			delete(w.entries, name)
			changed = true
			if e.exited() && e.keepRoom && !h.isJobOver(e.job) && h.startable(w) {
				w.entries[name] = &entry{task: name, job: e.job, index: e.index, attempt: e.attempt, state: board.TaskReserved, expiresAt: now.Add(reservationLifetime)}
			}
		}
	}
	return changed
}

const (
	// incompleteRoomLifetime is how long the room of a task that exited because its gang did not assemble is
	// kept for a decision of its owner. reservationLifetime is how long a reservation lasts.
	incompleteRoomLifetime = 3 * time.Second
	reservationLifetime    = 6 * time.Second
)

// noteState learns from a task's new state which images the machine has and whether tasks fail there.
func (h *Holder) noteState(w *worker, e *entry, t protocol.TaskReport) {
	slog.Debug("task", "task", e.task, "machine", w.id, "was", e.state, "is", t.State, "cause", t.Cause)
	if j := h.jobs[e.job]; j != nil && t.State != protocol.TaskExited {
		w.useImage(image{j.Spec.Image, j.Spec.ImageGB}, h.machineTypes[w.machineType].CacheGB)
		if t.State != protocol.TaskPulling {
			w.readyImages[j.Spec.Image] = true
		}
	}
	if t.State == protocol.TaskRunning && e.state != "" {
		e.runningSince = time.Now()
	}
	if t.State != protocol.TaskExited || e.state == "" {
		return // a task first seen after its exit is no evidence about the machine
	}
	switch t.Cause {
	case protocol.CauseDone:
		h.noteSuccess(w)
	case protocol.CauseError:
		h.noteFailure(w, e.job)
	}
}

// useImage makes an image the most recently used of the machine's cache.
func (w *worker) useImage(img image, cache float64) {
	w.cachedImages = slices.DeleteFunc(w.cachedImages, func(i image) bool { return i.name == img.name })
	w.cachedImages = append(w.cachedImages, img)
	total := 0.0
	for i := len(w.cachedImages) - 1; i >= 0; i-- {
		total += w.cachedImages[i].gb
		if total > cache && i < len(w.cachedImages)-1 {
			for _, old := range w.cachedImages[:i+1] {
				delete(w.readyImages, old.name)
			}
			w.cachedImages = slices.Clone(w.cachedImages[i+1:])
			return
		}
	}
}
