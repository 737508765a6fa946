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

// leastCharge is what a machine that is deleted costs at least.
const leastCharge = time.Minute

// listedDead is for how long a machine that died stays listed as running.
const listedDead = 30 * time.Second

// mostListed bounds a page of the machine list.
const mostListed = 500

// cloudHandler serves the cloud's interface.
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
			most = mostListed
		}
		w.cloudAnswer(rw, func() (int, any) { return http.StatusOK, w.list(q.Get("from"), min(most, mostListed)) })
	})
	r.POST("/rentals", func(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var q protocol.RentRequest
		err := read(r, &q)
		w.maybeLate(rw, r, func() (int, any) {
			if err != nil {
				return http.StatusBadRequest, problem(err.Error())
			}
			return w.rent(q)
		})
	})
	r.POST("/rentals/return", func(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var q protocol.MachineNames
		err := read(r, &q)
		w.maybeLate(rw, r, func() (int, any) {
			if err != nil || len(q.Machines) > protocol.MaxReturn {
				return http.StatusBadRequest, problem("malformed")
			}
			for _, id := range q.Machines {
				if m := w.machines[id]; m != nil {
					m.vanish("returned")
				}
			}
			return http.StatusOK, struct{}{}
		})
	})
	return r
}

// maybeLate has f answer as cloudAnswer does; or, if requests are held up, has it done much
// later, while its sender hears nothing: machines appear that nobody expects any more.
func (w *World) maybeLate(rw http.ResponseWriter, r *http.Request, f func() (int, any)) {
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

// cloudAnswer has f answer on the loop, within the cloud's rate and out of outages.
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

// rent carries a rental out; one that was carried out before is only answered again.
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

// newMachine rents a machine, which boots.
func (w *World) newMachine(q protocol.RentRequest, t *protocol.MachineType) *machine {
	id := fmt.Sprintf("host-%06d", w.machinesMade)
	v := w.setup.Variation
	m := &machine{w: w, id: id, kind: q, typ: t, born: time.Now(), session: 1, tasks: map[string]*task{}, speed: 1, fetchSpeed: 1,
		node: w.machinesMade % max(1, len(w.setup.Controllers)), poke: make(chan struct{}, 1), resumed: make(chan struct{})}
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
	m.listed = m.born.Add(w.lag())
	w.machines[id] = m
	w.machineList = append(w.machineList, m)
	w.charge(m, 1)
	w.record(history.Event{Kind: history.MachineRented, Machine: id, Type: q.Type, Zone: q.Zone, Spot: q.Spot})
	if !v.Boots || w.rng.Float64() >= v.NeverUp {
		w.loop.after(protocol.Seconds(boot), m.comeUp)
	}
	return m
}

// lag is by how much the list is late with one piece of news.
func (w *World) lag() time.Duration {
	lag := w.setup.Variation.ListLag
	if lag > 0 && w.rng.Float64() < 0.1 {
		lag = time.Duration(float64(lag) * w.uniform(1, 2))
	}
	return lag
}

// price is what a machine costs an hour now.
func (w *World) price(m *machine) float64 {
	if m.kind.Spot {
		return m.typ.SpotPrice * w.spotFactors[m.typ.Name]
	}
	return m.typ.Price
}

// pay adds up what the machines cost until now.
func (w *World) pay() {
	now := time.Now()
	w.cost += w.hourlyCost * now.Sub(w.costAccruedTo).Hours()
	w.costAccruedTo = now
}

// charge begins (1) or ends (-1) what a machine costs.
func (w *World) charge(m *machine, sign int) {
	w.pay()
	m.charged = sign > 0
	w.charged += sign
	w.chargedByType[m.typ.Name] += sign
	w.hourlyCost += float64(sign) * w.price(m)
	if sign < 0 {
		w.cost += w.price(m) * max(0, leastCharge-time.Since(m.born)).Hours()
	}
	if w.charged == 0 {
		w.hourlyCost = 0 // of roundings
	}
}

// movePrices moves the spot prices, and again later.
func (w *World) movePrices() {
	w.pay()
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
	w.loop.after(30*time.Second, w.movePrices)
}

// list is a page of the machine list, as late as it is.
func (w *World) list(from string, most int) protocol.MachineList {
	l := protocol.MachineList{Machines: []protocol.Machine{}}
	now := time.Now()
	w.forget(now)
	at, found := slices.BinarySearchFunc(w.machineList, from, func(m *machine, id string) int { return strings.Compare(m.id, id) })
	if found {
		at++
	}
	for _, m := range w.machineList[at:] {
		if now.Before(m.listed) || m.unlisted != nil && !now.Before(*m.unlisted) {
			continue
		}
		if len(l.Machines) == most {
			l.More = true
			break
		}
		status := "starting"
		switch {
		case m.failed != nil && now.After(m.failed.Add(listedDead)):
			status = "failed"
		case m.up && !now.Before(m.upAt.Add(w.setup.Variation.ListLag)):
			status = "running"
		}
		l.Machines = append(l.Machines, protocol.Machine{ID: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot,
			Status: status, AgeS: max(0, now.Sub(m.born)-w.setup.Variation.ListLag).Seconds()})
	}
	return l
}

// forget drops machines that are gone and not listed any more, when there are many.
func (w *World) forget(now time.Time) {
	if len(w.machineList) < 2*len(w.machines)+100 {
		return
	}
	w.machineList = slices.DeleteFunc(w.machineList, func(m *machine) bool { return m.unlisted != nil && !now.Before(*m.unlisted) })
}
