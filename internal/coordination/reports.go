package coordination

import (
	"log/slog"
	"net/http"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Workers' reports: how a holder processes and answers them.

// acceptReport takes in a worker's report. It returns the worker, or the answer if there is nothing to take in.
func (h *Holder) acceptReport(rep *protocol.Report) (accepted *worker, refusal reportAnswer) {
	slot := h.slotOf(rep.Machine)
	s := h.slots[slot]
	holder := h.otherHolder(slot)
	if holder != "" {
		h.misrouted[holder] = misroutedReport{board.Stray{Machine: rep.Machine, Session: rep.Session, Ticket: rep.Ticket}, time.Now()}
	}
	if !h.mayAnswer() {
		return nil, unavailable
	}
	if s == nil {
		return nil, h.redirect(slot, holder)
	}
	// A report that shows a higher term than this holder's: another controller took the slot.
	if rep.Token.Term() > s.term {
		return nil, reportAnswer{http.StatusMisdirectedRequest, protocol.Redirect{}}
	}
	if h.returnedMachines.has(rep.Machine) {
		return nil, unavailable
	}
	w := h.workerOf(rep.Machine, s)
	previousSession := w.session
	late := time.Since(w.lastHeard) > h.cfg.ReportEvery()*2
	switch {
	case w.isNewer(rep):
	case w.restartToken != 0 && rep.Token == w.restartToken:
		h.noteRestart(w, rep) // only a restarted worker was given this token
		previousSession = w.session
	default:
		return nil, h.answerStaleReport(w, rep)
	}
	w.dropPendingAnswer()
	if previousSession == rep.Session {
		h.noteAck(w, rep.Token)
	}
	if !h.applyReport(w, rep) {
		return nil, unavailable
	}
	w.lastReported = w.lastHeard
	if late && previousSession != 0 {
		w.requireAck(time.Now()) // its next report shows whether it receives answers
		h.markChanged(w)
	}
	h.sendCommands(w)
	return w, reportAnswer{}
}

// otherHolder is the other controller that holds a slot by the records, "" if there is none.
func (h *Holder) otherHolder(slot int) string {
	if rec := h.slotRecords[slot]; h.slots[slot] == nil && rec != nil && rec.Holder != h.cfg.Name {
		return rec.Holder
	}
	return ""
}

// redirect answers a report of a slot that is not held here: with its holder, or with the controller to which
// it is assigned.
func (h *Holder) redirect(slot int, holder string) reportAnswer {
	if h.members[holder] != nil {
		return reportAnswer{http.StatusMisdirectedRequest, protocol.Redirect{Node: holder}}
	}
	if h.latestWindow != nil && slot < len(h.latestWindow.Assignment) && !h.isAssignedHere(slot) && h.members[h.latestWindow.Assignment[slot]] != nil {
		return reportAnswer{http.StatusMisdirectedRequest, protocol.Redirect{Node: h.latestWindow.Assignment[slot]}}
	}
	return unavailable
}

// workerOf returns the worker of a machine, and creates it if it is new.
func (h *Holder) workerOf(machine string, s *heldSlot) *worker {
	w := h.workersByID[machine]
	if w == nil {
		w = &worker{id: machine, slot: s, tokenSeq: s.highestDroppedSeq + 1, firstHeard: time.Now(), entries: map[string]*entry{}, failedJobs: map[string]bool{}, readyImages: map[string]bool{}}
		h.workersByID[machine] = w
	}
	return w
}

// answerReport answers an accepted report, which renews the lease of the tasks there, unless the worker
// receives no answers or a task's job is unknown.
func (h *Holder) answerReport(w *worker, rep *protocol.Report, now time.Time) reportAnswer {
	if w.ack.ignoresAnswers() {
		// It receives no answers, and further ones would count as possible renewals. It is probed directly.
		h.probeWorker(w)
		return unavailable
	}
	commands, known := h.cancellationStops(w, rep)
	if !known {
		return unavailable // owners look such jobs up
	}
	if len(commands) > protocol.MaxCommands {
		// Without all of these stops the answer would renew cancelled tasks. Direct commands stop them. Only a holder of
		// an earlier version lets a machine have so many tasks.
		return unavailable
	}
	commands = append(commands, h.repeatUnanswered(w, protocol.MaxCommands-len(commands))...)
	commands = append(commands, h.startCommands(w, now, protocol.MaxCommands-len(commands))...)
	w.unackedAnswer, w.unackedAnswerToken = now, h.tokenToSend(w, now)
	return reportAnswer{http.StatusOK, protocol.ReportAnswer{Token: w.unackedAnswerToken, Commands: commands}}
}

// isNewer reports whether a report is newer than all received from its machine: by its session and
// ticket, and by the highest token that it shows, which never falls either. If the two disagree the machine
// restarted and counts from the beginning, either before the report or after it. Without the token, a copy
// from before a restart, with a later session, would make running tasks count as gone.
func (w *worker) isNewer(rep *protocol.Report) bool {
	return rep.Newer(w.session, w.ticket) && rep.Token >= w.highestToken
}

// applyReport updates a worker by a report or a direct answer; false if that is not newer than what is known.
func (h *Holder) applyReport(w *worker, rep *protocol.Report) bool {
	if !w.isNewer(rep) || rep.Session <= w.lapsedIn {
		return false
	}
	now := time.Now()
	w.highestToken = rep.Token
	if rep.Token >= w.restartToken {
		w.restartToken = 0 // the restart is known by now: a later report with that token is a copy
	}
	changed := rep.Session > w.session || w.lapsed || w.unresponsive || w.reclaimNotice != (rep.NoticeS != nil)
	wasVerified := w.verified
	if rep.Session > w.session && w.session != 0 {
		h.forgetTasks(w) // the former session's tasks were killed
	}
	if rep.Session > w.session && w.session != 0 && !w.lapsed && now.Sub(w.lastPossibleRenewal()) < h.cfg.WorkerLease() {
		// Its lease ended although it was answered: it must acknowledge an answer before it is used.
		w.requireAck(now)
		slog.Info("machine didn't hear", "machine", w.id)
	}
	if rep.Session > w.session {
		// Earlier answers belong to a former session. The lease of the new one counts from its beginning,
		// which was before now. (If it counted from the slot's adoption, a session first seen in a direct
		// answer would lapse at once, and its reports would be refused until the next session.)
		w.lastAnswer, w.unackedAnswer = now, time.Time{}
	}
	w.session, w.ticket = rep.Session, rep.Ticket
	if w.ack.observe(rep.Token) {
		changed = true
	}
	w.addr, w.machineType, w.zone, w.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	w.lastHeard = now
	w.lapsed, w.unresponsive = false, false
	w.reclaimNotice = rep.NoticeS != nil
	changed = changed || !wasVerified
	if rep.Token.Term() == w.slot.term && h.applyTasks(w, rep) || changed {
		h.markChanged(w)
	}
	return true
}
