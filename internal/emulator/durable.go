package emulator

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"daledyke/internal/protocol"
)

// disk keeps the state service's state in a directory. What bbolt has committed is on disk, so a
// process killed at any moment loses nothing that was answered. Changes that arrive during a commit are
// written by the next one. Only one goroutine uses it.
type disk struct {
	db *bolt.DB
}

// record is what one change of the store writes to disk.
type record struct {
	revision uint64
	pairs    []protocol.Pair // set
	drops    []string
	lease    uint64        // opened if ttl > 0, ended if ttl < 0
	ttl      time.Duration // of the lease
}

var (
	keysBucket   = []byte("keys")
	leasesBucket = []byte("leases")
	metaBucket   = []byte("meta")
	revisionKey  = []byte("revision")
	lastLeaseKey = []byte("last-lease")
)

// openDisk opens or creates the state in a directory.
func openDisk(dir string) (*disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	db, err := bolt.Open(filepath.Join(dir, "state.db"), 0o600, &bolt.Options{Timeout: time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		err = errors.New("in use by another process")
	}
	if err != nil {
		return nil, fmt.Errorf("state in %s: %w", dir, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{keysBucket, leasesBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("state in %s: %w", dir, err)
	}
	return &disk{db}, nil
}

// load reads the stored state. All leases get their full TTL again, as after an outage; watches do not
// receive changes from before.
func (d *disk) load(now time.Time) (*store, error) {
	s := newStore()
	err := d.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		s.revision, s.lastID = number(meta.Get(revisionKey)), number(meta.Get(lastLeaseKey))
		err := tx.Bucket(leasesBucket).ForEach(func(k, v []byte) error {
			ttl := time.Duration(number(v))
			s.leases[number(k)] = &lease{ttl: ttl, expiry: now.Add(ttl), keys: map[string]bool{}}
			return nil
		})
		if err != nil {
			return err
		}
		return tx.Bucket(keysBucket).ForEach(func(k, v []byte) error {
			var p protocol.Pair
			if err := json.Unmarshal(v, &p); err != nil {
				return fmt.Errorf("key %s: %w", k, err)
			}
			p.Key = string(k)
			s.keys.ReplaceOrInsert(&p)
			if g := s.leases[p.Lease]; g != nil {
				g.keys[p.Key] = true
			}
			return nil
		})
	})
	s.oldestRevision = s.revision
	return s, err
}

func number(raw []byte) uint64 {
	if len(raw) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func bytesOf(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// write commits all records or none; after it returns they are on disk.
func (d *disk) write(records []record) error {
	return d.db.Update(func(tx *bolt.Tx) error {
		keys, leases, meta := tx.Bucket(keysBucket), tx.Bucket(leasesBucket), tx.Bucket(metaBucket)
		for _, r := range records {
			for _, p := range r.pairs {
				raw, err := json.Marshal(p)
				if err == nil {
					err = keys.Put([]byte(p.Key), raw)
				}
				if err != nil {
					return err
				}
			}
			var errs error
			for _, key := range r.drops {
				errs = errors.Join(errs, keys.Delete([]byte(key)))
			}
			switch {
			case r.ttl > 0:
				errs = errors.Join(errs, leases.Put(bytesOf(r.lease), bytesOf(uint64(r.ttl))), meta.Put(lastLeaseKey, bytesOf(r.lease)))
			case r.ttl < 0:
				errs = errors.Join(errs, leases.Delete(bytesOf(r.lease)))
			}
			if err := errors.Join(errs, meta.Put(revisionKey, bytesOf(r.revision))); err != nil {
				return fmt.Errorf("revision %s: %w", strconv.FormatUint(r.revision, 10), err)
			}
		}
		return nil
	})
}

func (d *disk) close() error { return d.db.Close() }
