package bookkeeping

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Limits on the size of values, and how larger records are stored. Limits may be lowered while the service runs:
// what was stored under higher limits stays readable, and must still fit when it is written again.

// encodedSize is the size of a value in bytes.
func encodedSize(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0 // the client reports the error when the value is sent
	}
	return len(raw)
}

func (s *Store) fits(v any) bool { return encodedSize(v) <= s.valueBytes }

// maxTransactionBytes limits the conditions and changes of a transaction together. The rest of the request takes less
// than what is left to protocol.MaxBody.
const maxTransactionBytes = protocol.MaxBody - 64

// transactionBytes is what conditions and changes take in a transaction.
func transactionBytes(conds []protocol.Condition, then []protocol.Change) int {
	return encodedSize(conds) + encodedSize(then)
}

// splitChanges divides changes without conditions into transactions.
func (s *Store) splitChanges(changes []protocol.Change) (transactions [][]protocol.Change) {
	var next []protocol.Change
	bytes := 0
	for _, c := range changes {
		n := transactionBytes(nil, []protocol.Change{c})
		if len(next) == s.txnOps || len(next) > 0 && bytes+n > maxTransactionBytes {
			transactions = append(transactions, next)
			next, bytes = nil, 0
		}
		next, bytes = append(next, c), bytes+n
	}
	if len(next) > 0 {
		transactions = append(transactions, next)
	}
	return transactions
}

// ---- values stored in parts: job descriptions, quotas

// partRecord is a part of a compressed value.
type partRecord struct {
	Data []byte `json:"z"`
}

// maxDescriptionBytes bounds a job description, which arrives in one request body.
const maxDescriptionBytes = 1 << 20

// splitValue compresses a value and splits it into parts. sum identifies the value.
func (s *Store) splitValue(v any) (parts []partRecord, sum string, err error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, "", err
	}
	hash := sha256.Sum256(raw)
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, "", err
	}
	maxPart := (s.valueBytes - encodedSize(partRecord{Data: []byte{}})) / 4 * 3 // base64 takes 4 bytes for 3
	for part := range slices.Chunk(compressed.Bytes(), maxPart) {
		parts = append(parts, partRecord{part})
	}
	return parts, hex.EncodeToString(hash[:8]), nil
}

// joinParts decodes a value that is stored in parts.
func joinParts[T any](parts [][]byte, limit int64) (*T, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(slices.Concat(parts...))), limit))
	if err != nil {
		return nil, err
	}
	v := new(T)
	return v, json.Unmarshal(raw, v)
}

// writeParts writes the parts of a description, except those that an earlier attempt of the same submission
// wrote. The record that accepts the job is written after them.
func (s *Store) writeParts(ctx context.Context, id, sum string, parts []partRecord) error {
	existing, err := s.listParts(ctx, id, sum)
	if err != nil {
		return err
	}
	var then []protocol.Change
	for k, p := range parts {
		if key := partKey(id, sum, k); existing[key] == nil {
			then = append(then, set(key, p, 0))
		}
	}
	for _, some := range s.splitChanges(then) {
		if err := s.commit(ctx, transport.Urgent, userTimeout, nil, some...); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) listParts(ctx context.Context, id, sum string) (map[string]json.RawMessage, error) {
	page, err := s.state.List(ctx, transport.Urgent, partKeyPrefix(id, sum), "", transport.MaxPage)
	if err != nil {
		return nil, err
	}
	out := map[string]json.RawMessage{}
	for _, p := range page.Pairs {
		out[p.Key] = p.Value
	}
	return out, nil
}

// loadSpec reads the description of a record that is stored in parts.
func (s *Store) loadSpec(ctx context.Context, id string, r *jobRecord) error {
	if r.Spec != nil || r.PartCount == 0 {
		return nil
	}
	existing, err := s.listParts(ctx, id, r.Sum)
	if err != nil {
		return err
	}
	var parts [][]byte
	for k := range r.PartCount {
		raw, ok := existing[partKey(id, r.Sum, k)]
		var p partRecord
		if !ok || json.Unmarshal(raw, &p) != nil {
			return fmt.Errorf("part %d of the description of %s is missing or senseless", k, id)
		}
		parts = append(parts, p.Data)
	}
	r.Spec, err = joinParts[protocol.JobSpec](parts, maxDescriptionBytes)
	return err
}

// attachedDrops returns the changes that drop all keys stored beside a job's record: its results and the parts
// of its description.
func attachedDrops(j *Job) (drops []protocol.Change) {
	for c, ch := range j.Results {
		if ch.Version > 0 {
			drops = append(drops, protocol.Change{Drop: resultKey(j.Spec.ID, c)})
		}
	}
	for k := range j.partCount {
		drops = append(drops, protocol.Change{Drop: partKey(j.Spec.ID, j.sum, k)})
	}
	return drops
}

// trimToFit removes the fields that are only displayed from a record that is too large.
func (s *Store) trimToFit(r *jobRecord) *jobRecord {
	if !s.fits(r) {
		spec := *r.Spec
		spec.Class, spec.Image, spec.Zone, spec.Batch = "", "", nil, nil
		r.Spec = &spec
	}
	return r
}

// ---- rosters

// packRoster converts the roster of a slot's record to a form that takes some 1.5 bytes a machine, if the
// usual form is too large. Versions that don't know job dependencies don't know the packed form either: they
// treat the roster as unknown, and wait until the leases of all tasks that may run there have surely lapsed.
// Once no such version runs, the packed form can be the only one.
func (s *Store) packRoster(rec Slot) Slot {
	if s.fits(rec) {
		return rec
	}
	last := uint64(0)
	for _, n := range slices.Sorted(maps.Keys(rec.Roster)) {
		rec.PackedRoster = binary.AppendUvarint(rec.PackedRoster, n-last)
		last = n
	}
	rec.Roster, rec.RosterUnknown, rec.RosterKnown = nil, !rec.RosterKnown, false
	return rec
}

// unpackRoster converts a slot's record to the usual form.
func (r *Slot) unpackRoster() {
	if r.PackedRoster == nil {
		return
	}
	r.Roster, r.RosterKnown = Roster{}, !r.RosterUnknown
	last := uint64(0)
	for rest := r.PackedRoster; len(rest) > 0; {
		step, n := binary.Uvarint(rest)
		if n <= 0 {
			r.RosterKnown = false // malformed: a controller that takes the slot waits for leases to lapse
			break
		}
		last += step
		r.Roster[last] = true
		rest = rest[n:]
	}
	r.PackedRoster, r.RosterUnknown = nil, false
}

// ---- batches

// splitBatch returns the records for a batch: one, unless the machine names are too long for one value.
func (s *Store) splitBatch(name string, batch RentalBatch) map[string]RentalBatch {
	out := map[string]RentalBatch{}
	ids := batch.Machines
	for k := 0; ; k++ {
		key := name
		if k > 0 {
			key = fmt.Sprintf("%s.%d", name, k)
		}
		batch.Machines = ids
		for !s.fits(batch) && len(batch.Machines) > 1 {
			batch.Machines = batch.Machines[:(len(batch.Machines)+1)/2]
		}
		out[key] = batch
		if ids = ids[len(batch.Machines):]; len(ids) == 0 {
			return out
		}
	}
}

// ---- the catalogue

// catalogRecord is the catalogue, or a part of it. Versions that don't know job dependencies read only a
// catalogue that is stored whole under one key. They use the last one stored that way, or ask the cloud.
type catalogRecord struct {
	protocol.Catalog
	Part      int   `json:"part,omitempty"`
	PartCount int   `json:"of,omitempty"`
	CreatedMs int64 `json:"made,omitempty"`
}

// catalogRecords splits a catalogue into values that fit.
func (s *Store) catalogRecords(c protocol.Catalog, createdMs int64) (out []catalogRecord) {
	if whole := (catalogRecord{Catalog: c}); s.fits(whole) {
		return []catalogRecord{whole}
	}
	next := catalogRecord{PartCount: len(c.Types), CreatedMs: createdMs} // the largest these numbers can be
	for _, t := range c.Types {
		more := next
		more.Types = append(slices.Clone(next.Types), t)
		more.Part = len(c.Types)
		if len(next.Types) > 0 && !s.fits(more) {
			out = append(out, next)
			more.Types = more.Types[len(next.Types):]
		}
		next.Types = more.Types
	}
	out = append(out, next)
	for i := range out {
		out[i].Part, out[i].PartCount = i, len(out)
	}
	return out
}

// catalogAssembler assembles a catalogue from its parts.
type catalogAssembler struct {
	parts            map[int]catalogRecord
	createdMs        int64
	publishedVersion uint64 // of the last catalogue returned
}

// add takes in a record, and returns the catalogue if it is complete and newer than the last one returned.
func (p *catalogAssembler) add(r catalogRecord, version uint64) *protocol.Catalog {
	if r.PartCount == 0 {
		if version < p.publishedVersion {
			return nil
		}
		p.publishedVersion = version
		return &r.Catalog
	}
	if r.CreatedMs != p.createdMs {
		if r.CreatedMs < p.createdMs {
			return nil
		}
		p.parts, p.createdMs = map[int]catalogRecord{}, r.CreatedMs
	}
	p.parts[r.Part] = r
	if len(p.parts) < r.PartCount || version < p.publishedVersion {
		return nil
	}
	p.publishedVersion = version
	var c protocol.Catalog
	for part := range r.PartCount {
		c.Types = append(c.Types, p.parts[part].Types...)
	}
	return &c
}
