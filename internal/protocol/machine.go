package protocol

import (
	"math"
	"strconv"
	"time"
)

// Room is an amount of what machines have and tasks take.
type Room struct {
	Cores, Accels, RAM float64
}

// roomSlack forgives the rounding of sums of decimal amounts.
const roomSlack = 1e-6

// Add gives the sum of two amounts.
func (r Room) Add(o Room) Room { return Room{r.Cores + o.Cores, r.Accels + o.Accels, r.RAM + o.RAM} }

// Sub gives what is left of r without o.
func (r Room) Sub(o Room) Room { return Room{r.Cores - o.Cores, r.Accels - o.Accels, r.RAM - o.RAM} }

// Scale gives n times the amount.
func (r Room) Scale(n float64) Room { return Room{r.Cores * n, r.Accels * n, r.RAM * n} }

// Fits tells whether need goes into r.
func (r Room) Fits(need Room) bool {
	return need.Cores <= r.Cores+roomSlack && need.Accels <= r.Accels+roomSlack && need.RAM <= r.RAM+roomSlack
}

// Times tells how often need goes into r, up to a bound.
func (r Room) Times(need Room, most int) int {
	n := float64(most)
	for _, p := range [3][2]float64{{r.Cores, need.Cores}, {r.Accels, need.Accels}, {r.RAM, need.RAM}} {
		if p[1] > 0 {
			n = min(n, math.Floor((p[0]+roomSlack)/p[1]))
		} else if p[0] < -roomSlack {
			return 0
		}
	}
	return int(max(0, n))
}

// Share is the largest part of whole that r is, over all kinds of room.
func (r Room) Share(whole Room) float64 {
	s := 0.0
	for _, p := range [3][2]float64{{r.Cores, whole.Cores}, {r.Accels, whole.Accels}, {r.RAM, whole.RAM}} {
		if p[1] > 0 {
			s = max(s, p[0]/p[1])
		}
	}
	return s
}

// MachineType is one entry of the cloud's catalogue.
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

// Room is what an empty machine of the type offers.
func (t *MachineType) Room() Room { return Room{t.Cores, t.Accels, t.RAM} }

// FetchTime is how long a machine of the type takes to fetch so much alone.
func (t *MachineType) FetchTime(gb float64) time.Duration {
	if t.FetchRate <= 0 {
		return 0
	}
	return Seconds(gb / t.FetchRate)
}

// Takes tells whether a task of the job may run on the type and fits an empty
// machine of it.
func (t *MachineType) Takes(s *JobSpec) bool { return s.AllowsType(t.Name) && t.Room().Fits(s.Need()) }

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `json:"rigs"`
}

// Machine is one entry of the cloud's machine list.
type Machine struct {
	ID     string  `json:"id"`
	Addr   string  `json:"address"`
	Type   string  `json:"rig"`
	Zone   string  `json:"plaza"`
	Spot   bool    `json:"standby"`
	Status string  `json:"status"`
	AgeS   float64 `json:"ageS"`
}

// MachineList is a page of the machine list.
type MachineList struct {
	Machines []Machine `json:"bollards"`
	More     bool      `json:"hasNext"`
}

// RentRequest asks the cloud for machines. Its booking is never used again.
type RentRequest struct {
	Booking string `json:"booking"`
	Type    string `json:"rig"`
	Zone    string `json:"plaza"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"howMany"`
}

// MachineNames is the answer to a rental and the body of a return.
type MachineNames struct {
	Machines []string `json:"bollards"`
}

// The most that one rental and one return may name.
const (
	MaxRent   = 50
	MaxReturn = 100
)

// MachineNumber is the number at the end of a machine's name: names rise in
// the order of creation, which is what deals them round robin. A name without
// a number is dealt by its hash.
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
