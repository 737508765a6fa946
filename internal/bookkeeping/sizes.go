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

// What fits into a value of the state service, and what becomes of what
// doesn't. Limits may fall while the service runs: what was stored under
// larger ones stays readable, and must still fit when it is written again.

// size is how many bytes a value takes.
func size(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0 // the client says so when it is sent
	}
	return len(raw)
}

func (s *Store) fits(v any) bool { return size(v) <= s.valueBytes }

// ---- what stands in parts: descriptions of jobs, quotas

// partRecord is a part of something that is compressed first.
type partRecord struct {
	Data []byte `json:"z"`
}

// mostDescription bounds a description, which came in a request's body.
const mostDescription = 1 << 20

// divide compresses a value and divides it into parts; sum tells different values
// apart.
func (s *Store) divide(v any) (parts []partRecord, sum string, err error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, "", err
	}
	hash := sha256.Sum256(raw)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, "", err
	}
	most := (s.valueBytes - size(partRecord{Data: []byte{}})) / 4 * 3 // as base64
	for part := range slices.Chunk(packed.Bytes(), most) {
		parts = append(parts, partRecord{part})
	}
	return parts, hex.EncodeToString(hash[:8]), nil
}

// join reads a value that stands in parts.
func join[T any](parts [][]byte, most int64) (*T, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(slices.Concat(parts...))), most))
	if err != nil {
		return nil, err
	}
	v := new(T)
	return v, json.Unmarshal(raw, v)
}

// writeParts writes the parts of a description, but for those that an earlier
// try of the same submission has written. The record that makes the job
// accepted comes last.
func (s *Store) writeParts(ctx context.Context, id, sum string, parts []partRecord) error {
	there, err := s.listParts(ctx, id, sum)
	if err != nil {
		return err
	}
	var then []protocol.Change
	for k, p := range parts {
		if key := partKey(id, sum, k); there[key] == nil {
			then = append(then, set(key, p, 0))
		}
	}
	for some := range slices.Chunk(then, s.txnOps) {
		if err := s.commit(ctx, transport.Urgent, userPatience, nil, some...); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) listParts(ctx context.Context, id, sum string) (map[string]json.RawMessage, error) {
	page, err := s.state.List(ctx, transport.Urgent, partKeys(id, sum), "", transport.MaxPage)
	if err != nil {
		return nil, err
	}
	out := map[string]json.RawMessage{}
	for _, p := range page.Pairs {
		out[p.Key] = p.Value
	}
	return out, nil
}

// whole completes a record whose description stands in parts.
func (s *Store) whole(ctx context.Context, id string, r *jobRecord) error {
	if r.Spec != nil || r.Parts == 0 {
		return nil
	}
	there, err := s.listParts(ctx, id, r.Sum)
	if err != nil {
		return err
	}
	var parts [][]byte
	for k := range r.Parts {
		raw, ok := there[partKey(id, r.Sum, k)]
		var p partRecord
		if !ok || json.Unmarshal(raw, &p) != nil {
			return fmt.Errorf("part %d of the description of %s is missing or senseless", k, id)
		}
		parts = append(parts, p.Data)
	}
	r.Spec, err = join[protocol.JobSpec](parts, mostDescription)
	return err
}

// dropsOf are the changes that drop all that stands beside a job's record.
func dropsOf(j *Job) (drops []protocol.Change) {
	for c, ch := range j.Results {
		if ch.Version > 0 {
			drops = append(drops, protocol.Change{Drop: resultKey(j.Spec.ID, c)})
		}
	}
	for k := range j.parts {
		drops = append(drops, protocol.Change{Drop: partKey(j.Spec.ID, j.sum, k)})
	}
	return drops
}

// brief leaves out of a record what only people would read, if it is too large.
func (s *Store) brief(r *jobRecord) *jobRecord {
	if !s.fits(r) {
		spec := *r.Spec
		spec.Class, spec.Image, spec.Zone, spec.Batch = "", "", nil, nil
		r.Spec = &spec
	}
	return r
}

// ---- rosters

// packed gives a slot's record a form that takes some 1.5 bytes a machine, if
// the usual one is too large. The version before chains does not know that
// form; it sees a slot whose roster was not kept, and waits until all that may
// be there has surely lapsed. Once no such version is left, this can be the
// only form.
func (s *Store) packed(rec Slot) Slot {
	if s.fits(rec) {
		return rec
	}
	last := uint64(0)
	for _, n := range slices.Sorted(maps.Keys(rec.Roster)) {
		rec.Packed = binary.AppendUvarint(rec.Packed, n-last)
		last = n
	}
	rec.Roster, rec.Unlisted, rec.Listed = nil, !rec.Listed, false
	return rec
}

// unpack brings a slot's record into the usual form.
func (r *Slot) unpack() {
	if r.Packed == nil {
		return
	}
	r.Roster, r.Listed = Roster{}, !r.Unlisted
	last := uint64(0)
	for rest := r.Packed; len(rest) > 0; {
		step, n := binary.Uvarint(rest)
		if n <= 0 {
			r.Listed = false // senseless: who takes the slot waits
			break
		}
		last += step
		r.Roster[last] = true
		rest = rest[n:]
	}
	r.Packed, r.Unlisted = nil, false
}

// ---- batches

// divided are the records for a batch: one, unless the machines' names are too
// long for that.
func (s *Store) divided(name string, l RentalBatch) map[string]RentalBatch {
	out := map[string]RentalBatch{}
	ids := l.Machines
	for k := 0; ; k++ {
		key := name
		if k > 0 {
			key = fmt.Sprintf("%s.%d", name, k)
		}
		l.Machines = ids
		for !s.fits(l) && len(l.Machines) > 1 {
			l.Machines = l.Machines[:(len(l.Machines)+1)/2]
		}
		out[key] = l
		if ids = ids[len(l.Machines):]; len(ids) == 0 {
			return out
		}
	}
}

// ---- the catalogue

// catalogRecord is the catalogue, or a part of it. The version before chains
// reads only what stands whole under one key, and goes on by what it finds
// there or asks the cloud.
type catalogRecord struct {
	protocol.Catalog
	Part int   `json:"part,omitempty"`
	Of   int   `json:"of,omitempty"`
	Made int64 `json:"made,omitempty"`
}

// catalogRecords divides a catalogue into values that fit.
func (s *Store) catalogRecords(c protocol.Catalog, made int64) (out []catalogRecord) {
	if one := (catalogRecord{Catalog: c}); s.fits(one) {
		return []catalogRecord{one}
	}
	next := catalogRecord{Of: len(c.Types), Made: made} // the longest that the numbers can be
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
		out[i].Part, out[i].Of = i, len(out)
	}
	return out
}

// catalogParts puts a catalogue together that came in parts.
type catalogParts struct {
	parts   map[int]catalogRecord
	made    int64
	version uint64 // of what was last told
}

// take takes in a record and gives the catalogue if it is whole and newer than
// what was told before.
func (p *catalogParts) take(r catalogRecord, version uint64) *protocol.Catalog {
	if r.Of == 0 {
		if version < p.version {
			return nil
		}
		p.version = version
		return &r.Catalog
	}
	if r.Made != p.made {
		if r.Made < p.made {
			return nil
		}
		p.parts, p.made = map[int]catalogRecord{}, r.Made
	}
	p.parts[r.Part] = r
	if len(p.parts) < r.Of || version < p.version {
		return nil
	}
	p.version = version
	var c protocol.Catalog
	for part := range r.Of {
		c.Types = append(c.Types, p.parts[part].Types...)
	}
	return &c
}
