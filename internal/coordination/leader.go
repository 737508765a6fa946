package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Leader stands for leadership and, while it leads, publishes windows and
// deals and rents machines.
type Leader struct {
	actor
	cfg     *config.Config
	session *Session
	store   *bookkeeping.Store
	cloud   *transport.Cloud
	owner   *Owner
	holders map[string]HolderCaller

	members map[string]*bookkeeping.Member
	leader  *bookkeeping.Leader
	window  *bookkeeping.Window
	writing bool

	// the fleet, while leading
	busy     bool
	bookings uint64
	refusals map[string]time.Time
	listed   map[string]protocol.Machine
	listedAt time.Time
	priced   time.Time
	catalog  *protocol.Catalog
	catBusy  bool
	started  time.Time
	leadFrom time.Time
	draining map[string]time.Time
	lots     map[string]*bookkeeping.Lot
}

// NewLeader makes the actor.
func NewLeader(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, cloud *transport.Cloud, owner *Owner, holders map[string]HolderCaller) *Leader {
	return &Leader{actor: newActor(ctx), cfg: c, session: session, store: store, cloud: cloud, owner: owner, holders: holders,
		members: map[string]*bookkeeping.Member{}, refusals: map[string]time.Time{}, listed: map[string]protocol.Machine{},
		draining: map[string]time.Time{}, lots: map[string]*bookkeeping.Lot{}, started: time.Now()}
}

// Run runs the actor until its context ends.
func (l *Leader) Run() { l.loop(250*time.Millisecond, l.tick) }

func (l *Leader) leads() bool {
	return l.leader != nil && l.leader.Name == l.cfg.Name && l.leader.Term == l.session.Term() && l.session.Valid()
}

func (l *Leader) tick() {
	l.learnCatalog()
	if !l.session.Valid() {
		return
	}
	if !l.leads() {
		l.leadFrom = time.Time{}
		l.stand()
		return
	}
	if l.leadFrom.IsZero() {
		l.leadFrom = time.Now()
		slog.Info("leading", "term", l.session.Term())
	}
	l.publish()
	l.manage()
}

// stand takes the leadership if nobody has it, or if the one who had it was
// this controller's former process.
func (l *Leader) stand() {
	if l.writing || l.leader != nil && l.leader.Name != l.cfg.Name {
		return
	}
	if l.leader != nil && l.leader.Term == l.session.Term() {
		return
	}
	l.writing = true
	seen, me, lease := l.leader, bookkeeping.Leader{Name: l.cfg.Name, Term: l.session.Term()}, l.session.Lease()
	go func() {
		l.store.Lead(l.ctx, seen, me, lease)
		pause(l.ctx, 300*time.Millisecond)
		l.tell(func() { l.writing = false })
	}()
}

// ---- windows

// firstWait is how long the very first window waits for controllers that are
// not there yet.
const firstWait = 2 * time.Second

// nextWindow works out the window to publish, nil if it is not time yet: in
// the middle of the present one, or at once when controllers came or went.
func nextWindow(cur *bookkeeping.Window, members map[string]*bookkeeping.Member, names []string, now time.Time, every, offset time.Duration) *bookkeeping.Window {
	var owners, hearing []string
	for _, n := range names {
		if m := members[n]; m != nil {
			owners = append(owners, n)
			if !m.Deaf {
				hearing = append(hearing, n)
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	if len(hearing) == 0 {
		hearing = owners
	}
	deal := make([]string, SlotCount(len(names)))
	for s := range deal {
		home := names[s%len(names)]
		if slices.Contains(hearing, home) {
			deal[s] = home
		} else {
			deal[s] = hearing[(s/len(names))%len(hearing)]
		}
	}
	w := &bookkeeping.Window{Number: 1, StartMs: now.UnixMilli(), Owners: owners, Deal: deal}
	if cur == nil {
		return w
	}
	w.Number = cur.Number + 1
	start := time.UnixMilli(cur.StartMs)
	if !slices.Equal(cur.Owners, owners) || !slices.Equal(cur.Deal, deal) {
		w.StartMs = max(now.Add(300*time.Millisecond).UnixMilli(), cur.StartMs)
		return w
	}
	if now.Before(start.Add(offset)) && start.Sub(now) < 2*every {
		return nil
	}
	w.StartMs = max(now.UnixMilli(), start.Add(every).UnixMilli())
	return w
}

func (l *Leader) publish() {
	if l.writing {
		return
	}
	if l.window == nil && len(l.members) < len(l.cfg.Siblings)+1 && time.Since(l.leadFrom) < firstWait {
		return // all start together: what was dealt now would soon change hands
	}
	w := nextWindow(l.window, l.members, l.cfg.Names(), time.Now(), l.cfg.Window, l.cfg.PublishOffset)
	if w == nil {
		return
	}
	l.writing = true
	leader, seen := l.leader, l.window
	go func() {
		err := l.store.PublishWindow(l.ctx, leader, seen, *w)
		if err != nil {
			slog.Debug("window not published", "number", w.Number, "err", err)
			pause(l.ctx, 300*time.Millisecond)
		}
		pause(l.ctx, 100*time.Millisecond)
		l.tell(func() { l.writing = false })
	}()
}

// ---- the catalogue

// learnCatalog reads the machine types: every controller once, if the records
// don't have them, and the leader regularly for the prices.
func (l *Leader) learnCatalog() {
	every := time.Second
	if l.catalog != nil {
		if !l.leads() {
			return
		}
		every = 30 * time.Second
	}
	if l.catBusy || time.Since(l.priced) < every {
		return
	}
	l.catBusy, l.priced = true, time.Now()
	go func() {
		c, err := l.cloud.Catalog(l.ctx)
		l.tell(func() {
			l.catBusy = false
			if err != nil || len(c.Types) == 0 {
				slog.Debug("no catalogue", "err", err)
				return
			}
			first := l.catalog == nil
			l.catalog = &c
			if l.leads() || first {
				go l.store.SaveCatalog(l.ctx, c)
			}
		})
	}()
}

// ---- the fleet

// manage compares the fleet with what is needed, one round at a time.
func (l *Leader) manage() {
	if l.busy || l.catalog == nil {
		return
	}
	l.busy = true
	leadFrom := l.leadFrom
	go func() {
		l.round(leadFrom)
		pause(l.ctx, 700*time.Millisecond)
		l.tell(func() { l.busy = false })
	}()
}

// fleetState is what the owner's board says about the fleet.
type fleetState struct {
	in      fleetInput
	silent  []string
	suspect []string
	drained map[string]bool
	holder  map[string]string
	reg     map[string]*bookkeeping.Machine
	seen    map[string]bool
	// up are machines that are not seen and on which tasks may be.
	up    map[string]bool
	ready bool
}

// lost are the silent machines that should be returned: not if a great part
// of the fleet, or of one holder's machines, is silent at once. Then the fault
// lies between them and the controllers, and they are probably well.
func (st *fleetState) lost() []string {
	if len(st.silent) > max(2, len(st.reg)/3) {
		return nil
	}
	all, quiet := map[string]int{}, map[string]int{}
	for _, h := range st.holder {
		all[h]++
	}
	for _, id := range st.silent {
		quiet[st.holder[id]]++
	}
	return slices.DeleteFunc(st.silent, func(id string) bool {
		h := st.holder[id]
		return h != "" && quiet[h] > 2 && 2*quiet[h] > all[h]
	})
}

// round runs on a goroutine of its own; only one round runs at a time, and it
// alone touches what the leader keeps of the fleet.
func (l *Leader) round(leadFrom time.Time) {
	now := time.Now()
	st := l.owner.fleet(l.ctx, now, l.started)
	if st == nil || !l.session.Valid() {
		return
	}
	l.list(now, st)
	var gone []string
	boots := map[string]*fleetMachine{}
	for id, m := range st.reg {
		lm, isListed := l.listed[id]
		if isListed && lm.Status == "failed" {
			gone = append(gone, id)
			continue
		}
		if st.seen[id] {
			continue
		}
		t, ok := st.in.types[m.Type]
		if !ok {
			continue
		}
		age := now.Sub(time.UnixMilli(m.RentedMs))
		if up := st.up[id]; !up && age > protocol.Seconds(2.6*t.BootS+15) || up && age > protocol.Seconds(t.BootS)+60*time.Second && now.Sub(leadFrom) > time.Minute {
			gone = append(gone, id) // never came up, or never came back
			continue
		}
		b := &fleetMachine{id: id, rig: m.Type, zone: m.Zone, spot: m.Spot, booting: true, free: t.Room()}
		if age > protocol.Seconds(1.8*t.BootS+5) {
			b.drains = true // late: don't count on it
		}
		boots[id] = b
		st.in.machines = append(st.in.machines, b)
	}
	gone = append(gone, st.lost()...)
	for _, id := range st.suspect {
		if first, ok := l.draining[id]; !ok {
			l.draining[id] = now
		} else if st.drained[id] || now.Sub(first) > 20*time.Second {
			gone = append(gone, id)
		}
	}
	st.in.refused = func(rig, zone string, spot bool) bool {
		return now.Before(l.refusals[fmt.Sprint(rig, "/", zone, "/", spot)])
	}
	st.in.idleAfter = l.cfg.IdleAfter
	rent, idle := planFleet(&st.in)
	for _, id := range idle {
		if _, ok := l.draining[id]; !ok {
			l.draining[id] = now
		}
		if st.drained[id] {
			gone = append(gone, id)
		}
	}
	for id := range l.draining {
		if !slices.Contains(idle, id) && !slices.Contains(st.suspect, id) {
			delete(l.draining, id)
		}
	}
	l.drain(st)
	l.giveBack(gone)
	if st.ready {
		l.rent(rent)
	}
}

// list reads the machine list now and then, for machines that failed and for
// those that nobody expected.
func (l *Leader) list(now time.Time, st *fleetState) {
	if now.Sub(l.listedAt) < max(4*time.Second, l.cfg.ListLag()) {
		return
	}
	l.listedAt = now
	listed := map[string]protocol.Machine{}
	from := ""
	for {
		page, err := l.cloud.List(l.ctx, from)
		if err != nil {
			slog.Debug("no machine list", "err", err)
			return
		}
		for _, m := range page.Machines {
			listed[m.ID] = m
			from = m.ID
		}
		if !page.More || len(page.Machines) == 0 || len(listed) > 10000 {
			break
		}
	}
	l.listed = listed
	var fresh []bookkeeping.Machine
	for id, m := range listed {
		if st.reg[id] == nil && !st.seen[id] && m.Status != "failed" && m.AgeS > 10 && !l.owner.isGone(l.ctx, id) {
			fresh = append(fresh, bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, RentedMs: now.Add(-protocol.Seconds(m.AgeS)).UnixMilli()})
		}
	}
	if len(fresh) > 0 {
		slog.Info("unexpected machines", "count", len(fresh))
		for _, lot := range bookkeeping.Lots(fresh) {
			l.bookings++
			l.register(fmt.Sprintf("x-%d-%d", l.session.Term(), l.bookings), lot)
		}
	}
}

func (l *Leader) drain(st *fleetState) {
	byHolder := map[string][]string{}
	for id := range l.draining {
		if h := st.holder[id]; h != "" {
			byHolder[h] = append(byHolder[h], id)
		}
	}
	for name, ids := range byHolder {
		if h := l.holders[name]; h != nil {
			h.Drain(l.ctx, DrainArgs{Caller: l.cfg.Name, Term: l.session.Term(), Machines: ids})
		}
	}
}

// giveBack returns machines; what was on them is gone once the cloud has
// answered, and the registry says so to everyone.
func (l *Leader) giveBack(ids []string) {
	if len(ids) == 0 || !l.session.Valid() {
		return
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	// Only what a lot names: dropping it there is what tells everyone.
	lots, named := map[string]*bookkeeping.Lot{}, map[string]bool{}
	l.ask(l.ctx, func() {
		wanted := make(map[string]bool, len(ids))
		for _, id := range ids {
			wanted[id] = true
		}
		for name, lot := range l.lots {
			for _, id := range lot.Machines {
				if wanted[id] && (named[id] || len(named) < protocol.MaxReturn) {
					named[id], lots[name] = true, lot
				}
			}
		}
	})
	if ids = slices.Sorted(maps.Keys(named)); len(ids) == 0 {
		return
	}
	if err := l.cloud.Return(l.ctx, ids); err != nil {
		slog.Info("return failed", "machines", len(ids), "err", err)
		return
	}
	slog.Info("returned machines", "ids", ids)
	if err := l.store.DropMachines(l.ctx, named, lots); err != nil {
		slog.Info("registry not updated, will return again", "err", err)
		return
	}
	for _, id := range ids {
		delete(l.listed, id)
		delete(l.draining, id)
	}
}

// rent rents machines. A booking's name is made of the controller's term,
// which the state service gave once and for all, and a rising number.
func (l *Leader) rent(rentals []rental) {
	for _, r := range rentals {
		if !l.session.Valid() {
			return
		}
		key := fmt.Sprint(r.rig, "/", r.zone, "/", r.spot)
		if time.Now().Before(l.refusals[key]) {
			continue // the cloud ran out of it in this very round
		}
		l.bookings++
		req := protocol.RentRequest{Booking: fmt.Sprintf("b-%d-%d", l.session.Term(), l.bookings), Type: r.rig, Zone: r.zone, Spot: r.spot, Count: r.count}
		names, err := l.cloud.Rent(l.ctx, req)
		if errors.Is(err, transport.ErrUnknown) {
			names, err = l.cloud.Rent(l.ctx, req) // the same booking: nothing is rented twice
		}
		if errors.Is(err, transport.ErrNoCapacity) {
			l.refusals[key] = time.Now().Add(20 * time.Second)
			slog.Info("no capacity", "kind", key)
			continue
		}
		if err != nil {
			slog.Info("rental failed", "kind", key, "err", err)
			return
		}
		if len(names.Machines) < r.count {
			l.refusals[key] = time.Now().Add(15 * time.Second)
		}
		slog.Info("rented", "kind", key, "asked", r.count, "got", len(names.Machines))
		lot := bookkeeping.Lot{Type: r.rig, Zone: r.zone, Spot: r.spot, RentedMs: time.Now().UnixMilli(), Machines: names.Machines}
		l.owner.expect(lot)
		l.register(req.Booking, lot)
	}
}

// register writes a lot, and goes on trying for a while; what stays without a
// record is found by its holder or in the machine list.
func (l *Leader) register(name string, lot bookkeeping.Lot) {
	go func() {
		for range 5 {
			err := l.store.AddLot(l.ctx, transport.Ordinary, name, lot)
			if err == nil || errors.Is(err, bookkeeping.ErrConflict) {
				return // written, by this or by an earlier try
			}
			slog.Debug("machines not registered", "lot", name, "err", err)
			pause(l.ctx, time.Second)
		}
	}()
}

// ---- the owner's side of it

func (o *Owner) isGone(ctx context.Context, id string) (gone bool) {
	o.ask(ctx, func() { gone = o.gone[id] })
	return gone
}

// expect notes rented machines before the records show them.
func (o *Owner) expect(l bookkeeping.Lot) {
	o.ask(o.ctx, func() {
		for _, id := range l.Machines {
			if o.machReg[id] == nil && !o.gone[id] {
				o.machReg[id] = l.Machine(id)
			}
		}
	})
}

// fleet sums up the fleet for the leader.
func (o *Owner) fleet(ctx context.Context, now, started time.Time) *fleetState {
	st := &fleetState{drained: map[string]bool{}, holder: map[string]string{}, reg: map[string]*bookkeeping.Machine{}, seen: map[string]bool{}, up: map[string]bool{}}
	ok := o.ask(ctx, func() {
		// Without every slot's news it is not known what is missing.
		st.ready = o.window() != nil && o.board.allComplete(o.slots, 0)
		st.in.types = o.types
		st.in.scarce = o.scarce()
		for id, m := range o.machReg {
			st.reg[id] = m
			if o.board.machines[id] == nil && o.rosters[slotOf(id, o.slots)][m.Number()] {
				st.up[id] = true
			}
		}
		for _, s := range o.board.slots {
			if p := o.peers[s.holder]; p != nil && p.valid {
				// Jobs whose tasks may be there wait until they are gone.
				st.silent = append(st.silent, s.awaited...)
				for _, id := range s.awaited {
					st.holder[id] = s.holder
				}
			}
		}
		for id, m := range o.board.machines {
			st.seen[id] = true
			if st.holder[id] == "" {
				st.holder[id] = m.holder
			}
			if st.reg[id] == nil {
				st.reg[id] = &bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
			}
			if m.Drained {
				st.drained[id] = true
			}
			if p := o.peers[m.holder]; m.Silent && m.current && p != nil && p.valid {
				if !slices.Contains(st.silent, id) {
					st.silent = append(st.silent, id)
				}
				continue
			}
			if m.Suspect {
				st.suspect = append(st.suspect, id)
				continue
			}
			if m.Leaving || m.Silent {
				continue
			}
			f := &fleetMachine{id: id, rig: m.Type, zone: m.Zone, spot: m.Spot, free: m.Free, used: len(m.insts) > 0}
			for _, i := range m.insts {
				if js := o.jobs[i.job]; js != nil && !i.exited() {
					f.byRank[js.job.Spec.Priority.Rank()] = f.byRank[js.job.Spec.Priority.Rank()].Add(js.job.Spec.Need())
				}
			}
			if !m.emptySince.IsZero() {
				f.idle = now.Sub(m.emptySince)
			}
			st.in.machines = append(st.in.machines, f)
		}
		st.in.demands = o.demands(now, started)
	})
	if !ok {
		return nil
	}
	return st
}

// demands is what has no machine, and what is expected to come.
func (o *Owner) demands(now, started time.Time) []demand {
	var out []demand
	for id, js := range o.active {
		s := js.job.Spec
		missing := s.Tasks - js.job.DoneCount() - len(js.pending)
		zones := map[string]int{}
		for index, list := range o.board.tasks[id] {
			if js.job.TaskDone(index) {
				continue
			}
			missing--
			for _, i := range list {
				zones[i.machine.Zone]++
			}
		}
		if missing <= 0 || js.errors > 6 {
			continue
		}
		if t := o.cfg.Team(s.Team); t != nil && t.Limited() {
			missing = min(missing, fits(s.Need(), protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}))
		}
		d := demand{spec: s, count: missing, left: max(0, o.within(s.Class, time.Hour)-now.Sub(js.job.Accepted))}
		if s.Scatter || s.OneZone {
			d.zoneLeft = map[string]int{}
			for _, z := range o.cfg.Deployment.Zones {
				d.zoneLeft[z] = s.ZoneShare() - zones[z]
				if s.OneZone && len(zones) > 0 && zones[z] == 0 {
					d.zoneLeft[z] = 0
				}
			}
		}
		out = append(out, d)
	}
	for name, c := range o.classes {
		if n, preempt := o.spare(name, c, now, started); n > 0 {
			d := demand{spec: c.spec, count: n, spare: true, preempt: preempt, left: time.Hour}
			if c.spec.Scatter {
				d.zoneLeft = map[string]int{}
				for _, z := range o.cfg.Deployment.Zones {
					d.zoneLeft[z] = (n + 1) / 2
				}
			}
			out = append(out, d)
		}
	}
	return out
}

// fits is how often a need goes into a limit, of which zeros mean none.
func fits(need, limit protocol.Room) int {
	n := math.Inf(1)
	if need.Cores > 0 && limit.Cores > 0 {
		n = min(n, limit.Cores/need.Cores)
	}
	if need.Accels > 0 && limit.Accels > 0 {
		n = min(n, limit.Accels/need.Accels)
	}
	return int(min(n, 1e6))
}

// ready is how long a machine for a task takes to be rented and have an image
// of so many GB, and what the fetch is of it.
func (o *Owner) ready(s *protocol.JobSpec, gb float64) (ready, fetch time.Duration) {
	ready = math.MaxInt64
	for _, t := range o.types {
		if t.Takes(s) {
			f := t.FetchTime(gb)
			if r := protocol.Seconds(1.3*t.BootS) + f; r < ready {
				ready, fetch = r, f
			}
		}
	}
	return ready, fetch
}

// spare is for how many tasks of a class room should be kept ready: as many
// as come, give or take, while a machine boots, if the users' aims leave no
// time to wait for one.
func (o *Owner) spare(name string, c *classStats, now, started time.Time) (n int, preempt bool) {
	within := o.within(name, math.MaxInt64)
	ready, fetch := o.ready(c.spec, c.image)
	if ready == math.MaxInt64 || within >= ready {
		return 0, false
	}
	mean := c.rate(now, started) * ready.Seconds() * o.cfg.Spare
	if mean == 0 {
		return 0, false
	}
	return int(math.Ceil(mean + 0.7*math.Sqrt(mean))), within > fetch+12*time.Second
}
