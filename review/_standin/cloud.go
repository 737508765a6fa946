package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daledyke/internal/protocol"
)

// cloud rents machines, and keeps what is on them. One lock guards it and all its machines.
type cloud struct {
	*record
	site  *site
	ctx   context.Context
	addr  string
	nodes *controllers

	mu       sync.Mutex
	machines []*machine // in the order of their names
	bookings map[string][]string
	// capacity is how many machines of a type there may be; 0 for other types. down: the interface answers 503.
	capacity map[string]int
	down     bool
	// boot returns how long a machine takes to be up; 0 if the case has it come up.
	boot func(m *machine) time.Duration
	jobs map[string]*job
	// broken holds what broke a rule.
	broken []string
	// stopped, if not nil, is told of each task that a command stops; it holds the lock.
	stopped func(m *machine, t *task)
}

// job is a job as users upload it for the workers.
type job struct {
	spec protocol.JobSpec
	run  time.Duration
	// done has the tasks that completed: their results are kept. on has the machine that each task is on.
	done map[string]bool
	on   map[string]*machine
	// started and failed: some task has started, or failed.
	started, failed bool
}

func newCloud(ctx context.Context, p *site, r *record) *cloud {
	c := &cloud{record: r, site: p, ctx: ctx, bookings: map[string][]string{}, capacity: map[string]int{}, jobs: map[string]*job{}}
	c.boot = func(*machine) time.Duration { return 1500 * time.Millisecond }
	return c
}

// upload gives the workers a job's description, with the run time of its tasks.
func (c *cloud) upload(submission map[string]any, run time.Duration) error {
	raw, err := json.Marshal(submission)
	j := &job{run: run, done: map[string]bool{}, on: map[string]*machine{}}
	if err == nil {
		err = json.Unmarshal(raw, &j.spec)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.spec.ID] = j
	return err
}

func (c *cloud) setNodes(n *controllers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = n
}

// serve serves the cloud's interface.
func (c *cloud) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.addr = l.Addr().String()
	mux := http.NewServeMux()
	handle := func(pattern string, f func(r *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			status, body := http.StatusServiceUnavailable, any(map[string]string{"error": "trouble"})
			if !c.down {
				status, body = f(r)
			}
			raw, _ := json.Marshal(body)
			c.mu.Unlock()
			w.WriteHeader(status)
			w.Write(raw)
		})
	}
	handle("GET /catalog", func(*http.Request) (int, any) { return http.StatusOK, protocol.Catalog{Types: c.site.types} })
	handle("GET /rentals", c.list)
	handle("POST /rentals", c.rent)
	handle("POST /rentals/return", c.giveBack)
	go (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l)
	return nil
}

func (c *cloud) list(r *http.Request) (int, any) {
	from := r.URL.Query().Get("from")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	page := protocol.MachineList{Machines: []protocol.Machine{}}
	then := time.Now().Add(-c.site.listLag) // what the list describes
	for _, m := range c.machines {
		if m.id <= from || m.rented.After(then) || m.gone && m.goneAt.Before(then) {
			continue
		}
		if len(page.Machines) == limit {
			page.More = true
			break
		}
		status := "starting"
		if m.up && m.upAt.Before(then) {
			status = "running"
		}
		page.Machines = append(page.Machines, protocol.Machine{ID: m.id, Addr: m.addr, Type: m.typ.Name, Zone: m.plaza, Spot: m.spot, Status: status, AgeS: then.Sub(m.rented).Seconds()})
	}
	return http.StatusOK, page
}

func (c *cloud) rent(r *http.Request) (int, any) {
	var q protocol.RentRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Booking == "" || q.Count < 1 || q.Count > protocol.MaxRent {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	if names, known := c.bookings[q.Booking]; known {
		return http.StatusOK, protocol.MachineNames{Machines: names}
	}
	left := c.capacity[q.Type]
	for _, m := range c.machines {
		if m.typ.Name == q.Type && !m.gone {
			left--
		}
	}
	var names []string
	for range min(left, q.Count) {
		m := &machine{c: c, id: fmt.Sprintf("host-%06d", 231+len(c.machines)), plaza: q.Zone, spot: q.Spot, rented: time.Now(), changed: make(chan struct{}, 1)}
		for _, t := range c.site.types {
			if t.Name == q.Type {
				m.typ = t
			}
		}
		c.machines = append(c.machines, m)
		names = append(names, m.id)
		if after := c.boot(m); after > 0 {
			time.AfterFunc(after, func() { m.comeUp("") })
		}
	}
	c.add("cloud: rental %+v -> %v", q, names)
	if len(names) == 0 {
		return http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}
	}
	c.bookings[q.Booking] = names
	return http.StatusOK, protocol.MachineNames{Machines: names}
}

func (c *cloud) giveBack(r *http.Request) (int, any) {
	var q protocol.MachineNames
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Machines) > protocol.MaxReturn {
		return http.StatusBadRequest, map[string]string{"error": "malformed"}
	}
	for _, id := range q.Machines {
		for _, m := range c.machines {
			if m.id == id && !m.gone {
				c.add("cloud: %s is returned", id)
				m.remove()
			}
		}
	}
	return http.StatusOK, struct{}{}
}

// with runs f under the lock.
func (c *cloud) with(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// violate records that a rule was broken; it holds the lock.
func (c *cloud) violate(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
	c.add("RULE BROKEN: %s", fmt.Sprintf(format, args...))
}

// violations returns what broke a rule so far.
func (c *cloud) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}
