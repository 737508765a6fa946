package transport

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"daledyke/internal/protocol"
)

// ErrNoCapacity means that the cloud has no machines of the requested kind.
var ErrNoCapacity = errors.New("no capacity")

// Cloud is the client of the cloud's API.
type Cloud struct {
	http   *http.Client
	base   string
	budget *rateBudget
	// Counts counts the requests by outcome.
	Counts Counts
}

// NewCloud makes a client that sends at most rps requests a second, its share of the cloud's rate.
func NewCloud(dial Dialer, addr string, rps float64) *Cloud {
	return &Cloud{http: newHTTPClient(dial, 8, time.Minute), base: "http://" + addr, budget: newRateBudget(rps)}
}

func (c *Cloud) call(ctx context.Context, u Urgency, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	if err := c.budget.wait(ctx, u, 1); err != nil {
		c.Counts.NoBudget.Add(1)
		return err
	}
	raw, err := c.request(ctx, method, path, body)
	c.Counts.record(err)
	if err != nil || into == nil {
		return err
	}
	return decode(raw, into)
}

func (c *Cloud) request(ctx context.Context, method, path string, body any) ([]byte, error) {
	code, raw, err := Call(ctx, c.http, method, c.base+path, body)
	if err != nil || code == http.StatusOK {
		return raw, err
	}
	var e struct {
		Error string `json:"error"`
	}
	if decode(raw, &e) == nil && e.Error == "no capacity" {
		return nil, ErrNoCapacity
	}
	return nil, fmt.Errorf("%w: cloud answers %d %.80s", ErrRefused, code, raw)
}

// Catalog fetches the machine types and their current prices.
func (c *Cloud) Catalog(ctx context.Context) (cat protocol.Catalog, err error) {
	err = c.call(ctx, Urgent, http.MethodGet, "/catalog", nil, &cat)
	return cat, err
}

// Rent requests machines.
func (c *Cloud) Rent(ctx context.Context, r protocol.RentRequest) (names protocol.MachineNames, err error) {
	err = c.call(ctx, Urgent, http.MethodPost, "/rentals", r, &names)
	return names, err
}

// Return gives machines back; after success they no longer exist.
func (c *Cloud) Return(ctx context.Context, names []string) error {
	return c.call(ctx, Urgent, http.MethodPost, "/rentals/return", protocol.MachineNames{Machines: names}, nil)
}

// List fetches a page of the machine list, starting at from.
func (c *Cloud) List(ctx context.Context, from string) (l protocol.MachineList, err error) {
	path := "/rentals?limit=500"
	if from != "" {
		path += "&from=" + url.QueryEscape(from)
	}
	err = c.call(ctx, Ordinary, http.MethodGet, path, nil, &l)
	return l, err
}
