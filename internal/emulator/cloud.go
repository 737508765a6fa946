package emulator

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// minCharge is the shortest time that a deleted machine is charged for.
const minCharge = time.Minute

// crashedListedFor is how long a crashed machine remains listed as running.
const crashedListedFor = 30 * time.Second

// maxListPage limits a page of the machine list.
const maxListPage = 500

// cloudHandler serves the cloud's API.
func (w *World) cloudHandler() http.Handler {
	r := httprouter.New()
	r.GET("/catalog", func(rw http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.cloudAnswer(rw, func() (int, any) {
			c := protocol.Catalog{Types: slices.Clone(w.setup.Types)}
			for i := range c.Types {
				c.Types[i].SpotPrice *= w.spotFactors[c.Types[i].Name]
			}
			return http.StatusOK, c
		})
	})
	r.GET("/rentals", func(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		q := r.URL.Query()
		most, err := strconv.Atoi(q.Get("limit"))
		if err != nil || most <= 0 {
			most = maxListPage
		}
		w.cloudAnswer(rw, func() (int, any) { return http.StatusOK, w.listMachines(q.Get("from"), min(most, maxListPage)) })
	})
	r.POST("/rentals", func(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var q protocol.RentRequest
		err := read(r, &q)
		w.answerOrDelay(rw, r, func() (int, any) {
			if err != nil {
				return http.StatusBadRequest, problem(err.Error())
			}
			return w.rent(q)
		})
	})
	r.POST("/rentals/return", func(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var q protocol.MachineNames
		err := read(r, &q)
		w.answerOrDelay(rw, r, func() (int, any) {
			if err != nil || len(q.Machines) > protocol.MaxReturn {
				return http.StatusBadRequest, problem("malformed")
			}
			for _, id := range q.Machines {
				if m := w.machines[id]; m != nil {
					m.remove("returned")
				}
			}
			return http.StatusOK, struct{}{}
		})
	})
	return w.copies.repeat(r)
}

// answerOrDelay answers as cloudAnswer does. If requests are delayed, it runs f after the delay and drops the
// answer: machines appear that no controller expects any more.
func (w *World) answerOrDelay(rw http.ResponseWriter, r *http.Request, f func() (int, any)) {
	var late time.Duration
	w.loop.do(func() {
		if late = w.cloudDelay; late > 0 {
			w.loop.after(late, func() {
				if !w.cloudDown {
					f()
				}
			})
		}
	})
	if late > 0 {
		Sleep(r.Context(), time.Minute)
		panic(http.ErrAbortHandler)
	}
	w.cloudAnswer(rw, f)
}

// cloudAnswer runs f on the loop and writes its answer, subject to the cloud's rate limit and outages.
func (w *World) cloudAnswer(rw http.ResponseWriter, f func() (int, any)) {
	status, body := http.StatusServiceUnavailable, any(problem("trouble"))
	w.loop.do(func() {
		switch {
		case w.cloudDown:
		case !w.cloudLimiter.Allow():
			status, body = http.StatusTooManyRequests, nil
		default:
			status, body = f()
		}
	})
	answer(rw, status, body)
}

// rent carries out a rental. A repeated request for the same booking receives the first answer.
func (w *World) rent(q protocol.RentRequest) (int, any) {
	t := w.types[q.Type]
	if q.Booking == "" || t == nil || !slices.Contains(t.Zones, q.Zone) || q.Count < 1 || q.Count > protocol.MaxRent {
		return http.StatusBadRequest, problem("malformed")
	}
	if ids, done := w.bookings[q.Booking]; done {
		return http.StatusOK, protocol.MachineNames{Machines: ids}
	}
	var ids []string
	left := w.capacity - w.charged
	if most, bound := w.setup.MaxByType[q.Type]; bound {
		left = min(left, most-w.chargedByType[q.Type])
	}
	for range min(q.Count, left) {
		ids = append(ids, w.newMachine(q, t).id)
	}
	if ids == nil {
		return http.StatusServiceUnavailable, problem("no capacity")
	}
	w.bookings[q.Booking] = ids
	return http.StatusOK, protocol.MachineNames{Machines: ids}
}

// newMachine rents a machine and starts its boot.
func (w *World) newMachine(q protocol.RentRequest, t *protocol.MachineType) *machine {
	id := fmt.Sprintf("host-%06d", w.machinesMade)
	v := w.setup.Variation
	m := &machine{w: w, id: id, kind: q, typ: t, rentedAt: time.Now(), session: 1, tasks: map[string]*task{}, speed: 1, fetchSpeed: 1,
		controller: w.machinesMade % max(1, len(w.setup.Controllers)), reportNow: make(chan struct{}, 1), resumed: make(chan struct{})}
	close(m.resumed)
	w.machinesMade++
	boot := t.BootS * w.bootFactor
	if v.Boots {
		boot *= w.uniform(0.6, 1.5)
		if w.rng.Float64() < 0.03 {
			boot *= w.uniform(2, 5)
		}
	}
	if v.Speeds {
		m.speed, m.fetchSpeed = w.uniform(0.9, 1), w.uniform(0.67, 1.33)
	}
	m.listedFrom = m.rentedAt.Add(w.listLag())
	w.machines[id] = m
	w.machineList = append(w.machineList, m)
	w.setCharged(m, 1)
	w.record(history.Event{Kind: history.MachineRented, Machine: id, Type: q.Type, Zone: q.Zone, Spot: q.Spot})
	if !v.Boots || w.rng.Float64() >= v.NeverUp {
		w.loop.after(protocol.Seconds(boot), m.startWorker)
	}
	return m
}

// listLag returns the delay of one update of the machine list.
func (w *World) listLag() time.Duration {
	lag := w.setup.Variation.ListLag
	if lag > 0 && w.rng.Float64() < 0.1 {
		lag = time.Duration(float64(lag) * w.uniform(1, 2))
	}
	return lag
}

// price returns the current hourly price of a machine.
func (w *World) price(m *machine) float64 {
	if m.kind.Spot {
		return m.typ.SpotPrice * w.spotFactors[m.typ.Name]
	}
	return m.typ.Price
}

// accrueCost adds the cost of all machines up to now.
func (w *World) accrueCost() {
	now := time.Now()
	w.cost += w.hourlyCost * now.Sub(w.costAccruedTo).Hours()
	w.costAccruedTo = now
}

// setCharged starts (1) or ends (-1) the setCharged for a machine.
func (w *World) setCharged(m *machine, sign int) {
	w.accrueCost()
	m.charged = sign > 0
	w.charged += sign
	w.chargedByType[m.typ.Name] += sign
	w.hourlyCost += float64(sign) * w.price(m)
	if sign < 0 {
		w.cost += w.price(m) * max(0, minCharge-time.Since(m.rentedAt)).Hours()
	}
	if w.charged == 0 {
		w.hourlyCost = 0 // clears rounding errors
	}
}

// updateSpotPrices changes the spot prices at random and schedules the next change.
func (w *World) updateSpotPrices() {
	w.accrueCost()
	for i := range w.setup.Types {
		name := w.setup.Types[i].Name
		w.spotFactors[name] = math.Max(0.67, math.Min(1.33, w.spotFactors[name]*w.uniform(0.93, 1.07)))
	}
	w.hourlyCost = 0
	for _, m := range w.machineList {
		if m.charged {
			w.hourlyCost += w.price(m)
		}
	}
	w.loop.after(30*time.Second, w.updateSpotPrices)
}

// listMachines returns a page of the machine listMachines, with its delays.
func (w *World) listMachines(from string, most int) protocol.MachineList {
	l := protocol.MachineList{Machines: []protocol.Machine{}}
	now := time.Now()
	w.pruneMachineList(now)
	at, found := slices.BinarySearchFunc(w.machineList, from, func(m *machine, id string) int { return strings.Compare(m.id, id) })
	if found {
		at++
	}
	for _, m := range w.machineList[at:] {
		if now.Before(m.listedFrom) || m.unlistedFrom != nil && !now.Before(*m.unlistedFrom) {
			continue
		}
		if len(l.Machines) == most {
			l.More = true
			break
		}
		status := "starting"
		switch {
		case m.failedAt != nil && now.After(m.failedAt.Add(crashedListedFor)):
			status = "failed"
		case m.up && !now.Before(m.upAt.Add(w.setup.Variation.ListLag)):
			status = "running"
		}
		l.Machines = append(l.Machines, protocol.Machine{ID: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot,
			Status: status, AgeS: max(0, now.Sub(m.rentedAt)-w.setup.Variation.ListLag).Seconds()})
	}
	return l
}

// pruneMachineList removes machines that are gone and no longer listed, once there are many of them.
func (w *World) pruneMachineList(now time.Time) {
	if len(w.machineList) < 2*len(w.machines)+100 {
		return
	}
	w.machineList = slices.DeleteFunc(w.machineList, func(m *machine) bool { return m.unlistedFrom != nil && !now.Before(*m.unlistedFrom) })
}
