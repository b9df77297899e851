// Package lease assigns each shard of the targets to one host at a time. A host
// acquires a lease with a record on the Leases stream; every reader folds the
// stream in offset order into a Table and reaches the same state. The offset of
// the record that acquired the lease is its fencing number, so later holders have
// larger numbers. A Manager acquires, renews and releases the leases of a host.
//
// Only the log service's clock decides whether a lease has expired: an acquire
// takes effect if its record's time is later than the last renewal's plus Term.
// The holder measures Term less MaxSkew by its own monotonic clock, from before
// it sent the record, so it stops before another host can start.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

// The number of leases and their times.
const (
	// Shards is the number of leases. Targets are assigned to them by name.
	Shards = 64
	// Term is the time for which a lease lasts after its last renewal.
	Term = 15 * time.Second
	// RenewPeriod is the time between renewals. One record renews all leases of a
	// host.
	RenewPeriod = 5 * time.Second
	// MaxSkew limits the difference between a host's clock and the log service's,
	// and their drift within a Term.
	MaxSkew = 2 * time.Second
)

// The kinds of records on the Leases stream.
const (
	// AcquireKind, RenewKind and ReleaseKind carry a Record.
	AcquireKind = "Acquire"
	RenewKind   = "Renew"
	ReleaseKind = "Release"
)

// Record is a host's request to acquire, renew or release leases.
type Record struct {
	// Holder is unique to one incarnation of one host.
	Holder string
	// Shards lists the leases; an acquire lists one only.
	Shards []int
	// SentAt is the holder's time before it sent the record. A record that
	// reaches the log more than Term plus MaxSkew after it has no effect.
	SentAt time.Time
}

// ShardOf returns the shard that a target belongs to.
func ShardOf(target string) int { return int(xxhash.Sum64String(target) % Shards) }

// ShardName returns the name of a shard's lease. Rendezvous hashing picks its
// host by this name.
func ShardName(shard int) string { return fmt.Sprintf("%s/%02d", platform.LeasesStream, shard) }

// Lease is a lease that this host holds. It is immutable.
type Lease struct {
	Shard int
	// Fence is the fencing number.
	Fence platform.Offset
	// Since is the time at which this host read that it holds the lease.
	Since time.Time
	// Until is the time at which this host must stop acting on the lease.
	Until time.Time
}

// Valid reports whether the holder may act on the lease at now, a time just read
// from its clock. Both the monotonic and the wall clock must be before Until.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.Until) && now.Round(0).Before(l.Until.Round(0))
}

// State is the state of one lease in the fold.
type State struct {
	// Holder is empty if the lease was released or never acquired.
	Holder string
	Fence  platform.Offset
	// Expires is the time by the log service's clock after which another holder
	// can acquire the lease.
	Expires time.Time
}

// Table is the fold of the Leases stream. The zero value is the state before
// the first record.
type Table struct {
	states [Shards]State
}

// State returns the state of a lease.
func (t *Table) State(shard int) State { return t.states[shard] }

// Apply folds the next record and returns its holder and the shards that it
// acquired or renewed. Duplicates of a record are harmless: a copy of an acquire
// is refused while the lease is held, and a copy of a renewal only makes others
// wait, until SentAt plus twice Term plus MaxSkew at the latest.
func (t *Table) Apply(r *platform.Record) (holder string, shards []int) {
	var rec Record
	if json.Unmarshal(r.Data, &rec) != nil || rec.Holder == "" {
		return "", nil
	}
	if r.At.After(rec.SentAt.Add(Term + MaxSkew)) {
		return "", nil
	}
	for _, n := range rec.Shards {
		if n >= 0 && n < Shards && t.states[n].apply(r, rec.Holder) {
			shards = append(shards, n)
		}
	}
	return rec.Holder, shards
}

// apply folds r and reports whether it acquired or renewed the lease for holder.
func (s *State) apply(r *platform.Record, holder string) bool {
	live := s.Holder != "" && !r.At.After(s.Expires)
	switch r.Kind {
	case AcquireKind:
		if live {
			return false
		}
		*s = State{Holder: holder, Fence: r.Offset, Expires: r.At.Add(Term)}
		return true
	case RenewKind:
		if !live || s.Holder != holder {
			return false
		}
		s.Expires = r.At.Add(Term)
		return true
	case ReleaseKind:
		if s.Holder == holder {
			s.Holder = ""
		}
	}
	return false
}
