package protocol

import (
	"math"
	"strconv"
	"time"
)

// Room is an amount of resources: what a machine has or a task needs.
type Room struct {
	Cores, Accels, RAM float64
}

// roundingSlack tolerates rounding errors in sums of decimal amounts.
const roundingSlack = 1e-6

// Add returns the sum of two amounts.
func (r Room) Add(o Room) Room { return Room{r.Cores + o.Cores, r.Accels + o.Accels, r.RAM + o.RAM} }

// Sub returns r minus o.
func (r Room) Sub(o Room) Room { return Room{r.Cores - o.Cores, r.Accels - o.Accels, r.RAM - o.RAM} }

// Scale returns n times the amount.
func (r Room) Scale(n float64) Room { return Room{r.Cores * n, r.Accels * n, r.RAM * n} }

// Fits reports whether need fits in r.
func (r Room) Fits(need Room) bool {
	return need.Cores <= r.Cores+roundingSlack && need.Accels <= r.Accels+roundingSlack && need.RAM <= r.RAM+roundingSlack
}

// CountFits returns how many times need fits in r, at most limit.
func (r Room) CountFits(need Room, limit int) int {
	n := float64(limit)
	for _, p := range [3][2]float64{{r.Cores, need.Cores}, {r.Accels, need.Accels}, {r.RAM, need.RAM}} {
		if p[1] > 0 {
			n = min(n, math.Floor((p[0]+roundingSlack)/p[1]))
		} else if p[0] < -roundingSlack {
			return 0
		}
	}
	return int(max(0, n))
}

// DominantShare is the largest fraction of whole that r takes of any one resource.
func (r Room) DominantShare(whole Room) float64 {
	s := 0.0
	for _, p := range [3][2]float64{{r.Cores, whole.Cores}, {r.Accels, whole.Accels}, {r.RAM, whole.RAM}} {
		if p[1] > 0 {
			s = max(s, p[0]/p[1])
		}
	}
	return s
}

// MachineType is one machine type in the cloud's catalogue.
type MachineType struct {
	Name      string   `json:"sku"`
	Cores     float64  `json:"cores"`
	Accels    float64  `json:"accelerators"`
	RAM       float64  `json:"ramGb"`
	CacheGB   float64  `json:"localGb"`
	FetchRate float64  `json:"pullGbPerS"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"spotPrice"`
	BootS     float64  `json:"startupS"`
	Zones     []string `json:"plazas"`
}

// Room is the capacity of an empty machine of the type.
func (t *MachineType) Room() Room { return Room{t.Cores, t.Accels, t.RAM} }

// FetchTime is how long a machine of the type takes to fetch that much data, with no other fetch at the same
// time.
func (t *MachineType) FetchTime(gb float64) time.Duration {
	if t.FetchRate <= 0 {
		return 0
	}
	return Seconds(gb / t.FetchRate)
}

// CanRun reports whether a task of the job may run on the type and fits on an empty machine of it.
func (t *MachineType) CanRun(s *JobSpec) bool { return s.AllowsType(t.Name) && t.Room().Fits(s.Need()) }

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `json:"rigs"`
}

// Machine is one machine in the cloud's list of machines.
type Machine struct {
	ID     string  `json:"id"`
	Addr   string  `json:"address"`
	Type   string  `json:"rig"`
	Zone   string  `json:"plaza"`
	Spot   bool    `json:"standby"`
	Status string  `json:"status"`
	AgeS   float64 `json:"ageS"`
}

// MachineList is a page of the list of machines.
type MachineList struct {
	Machines []Machine `json:"bollards"`
	More     bool      `json:"hasNext"`
}

// RentRequest asks the cloud for machines. Each request has a new Booking, which is never reused.
type RentRequest struct {
	Booking string `json:"booking"`
	Type    string `json:"rig"`
	Zone    string `json:"plaza"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"howMany"`
}

// MachineNames is the answer to a rental, and the body of a request that returns machines.
type MachineNames struct {
	Machines []string `json:"bollards"`
}

// The maximum numbers of machines in one rental and in one return.
const (
	MaxRent   = 50
	MaxReturn = 100
)

// MachineNumber is the number at the end of a machine's name. Numbers rise in the order of creation, so machines
// are assigned to slots round robin. A name without a number is assigned by its hash.
func MachineNumber(id string) uint64 {
	i := len(id)
	for i > 0 && id[i-1] >= '0' && id[i-1] <= '9' {
		i--
	}
	if n, err := strconv.ParseUint(id[i:], 10, 64); err == nil {
		return n
	}
	return uint64(RingToken(id))
}
