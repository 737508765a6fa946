package pbs

import (
	"fmt"
	"slices"
	"strings"

	"daledyke/internal/protocol"
)

// The steps after all options are read.

// finish completes the job's description and checks it.
func (t *translation) finish() {
	s, q := &t.job.Spec, t.queue
	t.job.Queue = q.Name
	s.Team, s.Class, s.Account, s.Image, s.ImageGB = q.Team, q.Class, q.Account, q.Image, q.ImageGB
	s.Types, s.Spot, s.Priority = q.Types, q.Spot, q.Priority
	if q.Zone != "" {
		s.Zone = &q.Zone
	}
	t.setAccount()
	if t.priority != nil {
		switch {
		case *t.priority < 0:
			s.Priority = "idle"
		case *t.priority > 0:
			s.Priority = "high"
		}
	}
	c := t.requestedChunk()
	s.Tasks, s.Cores, s.Accels, s.RAM = c.Count, c.CPUs, c.GPUs, c.Mem/(1<<30)
	if s.RAM == 0 {
		s.RAM = q.MemGB
	}
	s.Shape = protocol.Array
	if c.Count > 1 {
		s.Shape, s.OneZone = protocol.Gang, t.oneZone
		for _, o := range []*Option{t.scatter, t.pack} {
			if o != nil {
				t.refuse(*o, "that tasks are on different machines, or on one, can't be promised", "write place=free, or place=group=zone")
			}
		}
	}
	if a := t.job.Array; a != nil {
		if c.Count > 1 {
			t.refused = append(t.refused, &Refusal{Position{}, "-J " + a.String(), "an array of jobs that have several chunks each can't be expressed", "submit them one by one"})
		}
		s.Tasks = a.Count()
	}
	walltime := t.walltime
	if walltime == 0 {
		walltime = q.Walltime
	}
	s.EstimateS = walltime.Seconds()
	if t.walltime > 0 {
		t.job.Notes = append(t.job.Notes, fmt.Sprintf("walltime %v is taken as the estimate: a task that runs for longer is not killed", t.walltime))
	}
	every := q.SaveEvery
	if t.checkpointEvery != nil {
		every = *t.checkpointEvery
	}
	if s.CheckpointS = every.Seconds(); every > 0 {
		s.SaveS = q.Save.Seconds()
	}
	slices.Sort(s.Needs)
	s.Needs = slices.Compact(s.Needs)
	slices.Sort(t.job.Variables)
	if t.job.Name == "" {
		t.job.Name = "STDIN"
	}
	switch limit := q.MaxPerTask; {
	case limit.Cores > 0 && s.Cores > limit.Cores, limit.Accels > 0 && s.Accels > limit.Accels, limit.RAM > 0 && s.RAM > limit.RAM:
		t.refused = append(t.refused, &Refusal{Position{}, "resources", fmt.Sprintf("a task of queue %s takes %g CPUs, %g GPUs and %g GB at most (0: no bound), not %g, %g and %g",
			q.Name, limit.Cores, limit.Accels, limit.RAM, s.Cores, s.Accels, s.RAM), "ask for less, or name another queue"})
	case q.MaxTasks > 0 && s.Tasks > q.MaxTasks:
		t.refused = append(t.refused, &Refusal{Position{}, "resources", fmt.Sprintf("a job of queue %s has %d tasks at most, not %d", q.Name, q.MaxTasks, s.Tasks), "divide it, or name another queue"})
	}
	if len(t.refused) == 0 {
		if err := s.Validate(); err != nil {
			t.refused = append(t.refused, &Refusal{Position{}, "script", err.Error(), ""})
		}
	}
}

// setAccount sets the account that -P or -A names, which must be an account of the queue's team.
func (t *translation) setAccount() {
	o := t.project
	if o.Value == "" {
		o = t.account
	} else if t.account.Value != "" && t.account.Value != o.Value {
		t.refuse(t.account, "-P and -A name different accounts", "name one")
	}
	if o.Value == "" {
		return
	}
	if team := t.queue.Team; o.Value != team && !strings.HasPrefix(o.Value, team+"/") {
		t.refuse(o, fmt.Sprintf("queue %s is for accounts of %s", t.queue.Name, team), "write an account such as "+team+"/NAME, or name another queue")
		return
	}
	t.job.Spec.Account = o.Value
}

// requestedChunk is the number of tasks that the job requests and the resources of each.
func (t *translation) requestedChunk() Chunk {
	c := Chunk{Count: 1, CPUs: 1}
	conflict := ""
	switch {
	case t.selected != nil && t.nodes != nil:
		conflict = "select and nodes"
	case t.selected != nil && (t.perJob != Chunk{} || t.memPerProcess > 0):
		conflict = "select and ncpus, ngpus, mem or pmem"
	}
	if conflict != "" {
		t.refused = append(t.refused, &Refusal{Position{}, "-l", conflict + " can't be given together", "put all into select"})
		return c
	}
	switch {
	case t.selected != nil:
		return *t.selected
	case t.nodes != nil:
		c = *t.nodes
	}
	if t.perJob.CPUs > 0 && t.nodes == nil {
		c.CPUs = t.perJob.CPUs
	}
	if t.perJob.GPUs > 0 {
		c.GPUs = t.perJob.GPUs
	}
	c.Mem = t.perJob.Mem / float64(c.Count) // -l mem is for the whole job
	if t.memPerProcess > 0 {
		c.Mem = max(c.Mem, t.memPerProcess*max(1, c.CPUs))
	}
	return c
}
