package lease

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
)

// Members returns the hosts that are believed alive. *peer.Exchange implements
// it.
type Members interface {
	Members() *peer.Members
}

// reviewPeriod is the time between checks of which leases this host should
// hold, and appendTimeout limits one append.
const (
	reviewPeriod  = time.Second
	appendTimeout = 3 * time.Second
)

// Manager acquires and renews the leases of the shards that rendezvous hashing
// over the members assigns to this host. Exported fields must be set before Run.
type Manager struct {
	Clock   *clock.Service
	Log     platform.Log
	Members Members
	// Self is the name of this host.
	Self string
	// Appends counts appends to the log.
	Appends metrics.Counter

	held atomic.Pointer[map[int]*Lease]

	// The fields below are used by the goroutine of Run only.
	id          string // of this incarnation of this host
	table       Table
	nextOffset  platform.Offset
	ready       bool // the stream was read up to its end
	leases      map[int]*Lease
	sentAt      map[string]time.Time // by record ID
	lastRenewal time.Time
	inFlight    bool
}

// Lookup returns the lease of a shard, or nil if this host doesn't hold it. The
// caller must check Valid before it acts on the lease.
func (m *Manager) Lookup(shard int) *Lease {
	if held := m.held.Load(); held != nil {
		return (*held)[shard]
	}
	return nil
}

// Held returns the number of leases that this host holds.
func (m *Manager) Held() int {
	if held := m.held.Load(); held != nil {
		return len(*held)
	}
	return 0
}

// Run maintains the leases until ctx ends. It doesn't release them at the end:
// they expire.
func (m *Manager) Run(ctx context.Context) error {
	m.id = m.Self + "/" + uuid.NewString()
	m.leases, m.sentAt = map[int]*Lease{}, map[string]time.Time{}
	if m.Appends == nil {
		m.Appends = metrics.NewCounter()
	}
	reads, appended := make(chan platform.TailRead), make(chan struct{}, 1)
	tail := platform.Tail{Log: m.Log, Clock: m.Clock, Stream: platform.LeasesStream, MaxAge: 2*Term + 2*MaxSkew, Reads: reads}
	go tail.Run(ctx)
	review := m.Clock.Subscribe(ctx, reviewPeriod)
	for {
		select {
		case r := <-reads:
			m.fold(r)
		case <-appended:
			m.inFlight = false
		case <-review:
			m.sendDue(ctx, appended)
		case <-ctx.Done():
			m.held.Store(nil)
			return ctx.Err()
		}
	}
}

// fold applies the records that were read.
func (m *Manager) fold(r platform.TailRead) {
	now := m.Clock.Now()
	if r.Err != nil {
		return
	}
	first := r.Batch.Next
	if len(r.Batch.Records) > 0 {
		first = r.Batch.Records[0].Offset
	}
	if first > m.nextOffset {
		m.table, m.leases, m.nextOffset = Table{}, map[int]*Lease{}, first
	}
	for i := range r.Batch.Records {
		rec := &r.Batch.Records[i]
		if rec.Offset < m.nextOffset {
			continue
		}
		m.nextOffset = rec.Offset + 1
		m.apply(rec, now)
	}
	m.ready = m.ready || m.nextOffset >= r.Batch.Next
	m.publish()
}

// apply folds one record and updates the leases of this host.
func (m *Manager) apply(rec *platform.Record, now time.Time) {
	holder, shards := m.table.Apply(rec)
	sent, known := m.sentAt[rec.ID]
	if holder == m.id && known {
		for _, n := range shards {
			m.extend(n, sent, now)
		}
	}
	for n := range m.leases {
		if s := m.table.State(n); s.Holder != m.id || s.Fence != m.leases[n].Fence {
			delete(m.leases, n)
		}
	}
}

// extend sets the end of a lease, counted from before its record was sent. It
// never shortens a lease.
func (m *Manager) extend(shard int, sent, now time.Time) {
	l := Lease{Shard: shard, Fence: m.table.State(shard).Fence, Since: now, Until: sent.Add(Term - MaxSkew)}
	if old := m.leases[shard]; old != nil && old.Fence == l.Fence {
		l.Since = old.Since
		if old.Until.After(l.Until) {
			l.Until = old.Until
		}
	}
	m.leases[shard] = &l
}

func (m *Manager) publish() {
	held := make(map[int]*Lease, len(m.leases))
	for n, l := range m.leases {
		held[n] = l
	}
	m.held.Store(&held)
}

// sendDue sends the records that are due: acquires, releases and one renewal for
// all leases.
func (m *Manager) sendDue(ctx context.Context, appended chan<- struct{}) {
	now := m.Clock.Now()
	if !m.ready || m.inFlight {
		return
	}
	entries := m.dueEntries(now)
	if len(entries) == 0 {
		return
	}
	m.inFlight = true
	m.Appends.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		// If the answer is lost, the fold shows whether the record was appended; if
		// it wasn't, a later call of sendDue sends another.
		m.Log.Append(ctx, platform.LeasesStream, entries)
		appended <- struct{}{}
	}()
}

// dueEntries returns the entries that this host should send at now.
func (m *Manager) dueEntries(now time.Time) []platform.Entry {
	var entries []platform.Entry
	var renew, release []int
	members := m.Members.Members()
	for n := range Shards {
		wanted := members.Holder(ShardName(n)).Name == m.Self
		s := m.table.State(n)
		free := s.Holder == "" || now.Add(-MaxSkew).After(s.Expires)
		switch {
		case wanted && free:
			entries = append(entries, m.newEntry(AcquireKind, now, []int{n}))
		case s.Holder == m.id && wanted:
			renew = append(renew, n)
		case s.Holder == m.id:
			release = append(release, n)
			delete(m.leases, n)
		}
	}
	if len(release) > 0 {
		m.publish() // before the release is sent
		entries = append(entries, m.newEntry(ReleaseKind, now, release))
	}
	if len(renew) > 0 && now.Sub(m.lastRenewal) >= RenewPeriod {
		m.lastRenewal = now
		entries = append(entries, m.newEntry(RenewKind, now, renew))
	}
	m.forgetOldRecords(now)
	return entries
}

func (m *Manager) newEntry(kind string, now time.Time, shards []int) platform.Entry {
	data, err := json.Marshal(Record{Holder: m.id, Shards: shards, SentAt: now})
	if err != nil {
		panic(err) // a Record can always be marshaled
	}
	id := uuid.NewString()
	m.sentAt[id] = now
	return platform.Entry{ID: id, Kind: kind, Data: data}
}

// forgetOldRecords drops the send times that can no longer extend a lease.
func (m *Manager) forgetOldRecords(now time.Time) {
	for id, sent := range m.sentAt {
		if now.Sub(sent) > Term {
			delete(m.sentAt, id)
		}
	}
}
