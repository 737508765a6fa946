package protocol

import "encoding/json"

// Pair is a key of the state service with its value.
type Pair struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is a part of a listing.
type Page struct {
	Pairs    []Pair `json:"pairs"`
	More     bool   `json:"hasNext"`
	Revision uint64 `json:"ledger"`
}

// Condition requires that a key has the given version; 0 requires that the key does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"stamp"`
}

// Change sets or drops a key, which is in Set or in Drop.
type Change struct {
	Set   string `json:"set,omitempty"`
	Value any    `json:"value,omitempty"`
	Lease uint64 `json:"permit,omitempty"`
	Drop  string `json:"drop,omitempty"`
}

// Txn is a set of changes that is applied atomically if all conditions hold.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"then"`
}

// TxnAnswer is the result of a transaction. Failed lists the keys whose conditions failed.
type TxnAnswer struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
}

// Event is one change that a watch reports. Set or Drop is the key.
type Event struct {
	Set     string          `json:"set"`
	Drop    string          `json:"drop"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
}

// Events is the answer to a watch.
type Events struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// LeaseRequest opens a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// LeaseAnswer names the lease that was opened.
type LeaseAnswer struct {
	Lease uint64 `json:"permit"`
}
