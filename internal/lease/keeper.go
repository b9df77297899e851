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

// Members names the hosts that are believed alive; *peer.Exchange does.
type Members interface {
	Members() *peer.Members
}

// reviewPeriod is the time between looks at which leases this host should
// hold; appendTimeout bounds one append.
const (
	reviewPeriod  = time.Second
	appendTimeout = 3 * time.Second
)

// Keeper holds the leases of the shards that the members give to this host.
// Exported fields are set before Run.
type Keeper struct {
	Clock   *clock.Service
	Log     platform.Log
	Members Members
	// Self is the name of this host.
	Self string
	// Appends counts appends.
	Appends metrics.Counter

	held atomic.Pointer[map[int]*Lease]

	// The fields below belong to the goroutine of Run.
	id       string // of this life of this host
	table    Table
	next     platform.Offset
	ready    bool // the stream was read up to its end
	leases   map[int]*Lease
	sent     map[string]time.Time // by record ID: when it was sent
	renewed  time.Time
	inFlight bool
}

// Lookup returns the lease of a shard, or nil when this host doesn't hold it.
// The caller checks Valid before it acts.
func (k *Keeper) Lookup(shard int) *Lease {
	if held := k.held.Load(); held != nil {
		return (*held)[shard]
	}
	return nil
}

// Held returns the number of leases that this host holds.
func (k *Keeper) Held() int {
	if held := k.held.Load(); held != nil {
		return len(*held)
	}
	return 0
}

// Run keeps the leases until ctx ends. It doesn't release them then: they run
// out.
func (k *Keeper) Run(ctx context.Context) error {
	k.id = k.Self + "/" + uuid.NewString()
	k.leases, k.sent = map[int]*Lease{}, map[string]time.Time{}
	if k.Appends == nil {
		k.Appends = metrics.NewCounter()
	}
	reads, appended := make(chan platform.TailRead), make(chan struct{}, 1)
	tail := platform.Tail{Log: k.Log, Clock: k.Clock, Stream: platform.LeasesStream, MaxAge: 2*Term + 2*MaxSkew, Reads: reads}
	go tail.Run(ctx)
	review := k.Clock.Subscribe(ctx, reviewPeriod)
	for {
		select {
		case r := <-reads:
			k.fold(r)
		case <-appended:
			k.inFlight = false
		case <-review:
			k.review(ctx, appended)
		case <-ctx.Done():
			k.held.Store(nil)
			return ctx.Err()
		}
	}
}

// fold applies what was read.
func (k *Keeper) fold(r platform.TailRead) {
	now := k.Clock.Now()
	if r.Err != nil {
		return
	}
	first := r.Batch.Next
	if len(r.Batch.Records) > 0 {
		first = r.Batch.Records[0].Offset
	}
	if first > k.next {
		k.table, k.leases, k.next = Table{}, map[int]*Lease{}, first
	}
	for i := range r.Batch.Records {
		rec := &r.Batch.Records[i]
		if rec.Offset < k.next {
			continue
		}
		k.next = rec.Offset + 1
		k.apply(rec, now)
	}
	k.ready = k.ready || k.next >= r.Batch.Next
	k.publish()
}

// apply folds one record and updates the leases of this host.
func (k *Keeper) apply(rec *platform.Record, now time.Time) {
	holder, shards := k.table.Apply(rec)
	sent, known := k.sent[rec.ID]
	if holder == k.id && known {
		for _, n := range shards {
			k.extend(n, sent, now)
		}
	}
	for n := range k.leases {
		if s := k.table.State(n); s.Holder != k.id || s.Fence != k.leases[n].Fence {
			delete(k.leases, n)
		}
	}
}

// extend counts a lease from before its record was sent.
func (k *Keeper) extend(shard int, sent, now time.Time) {
	l := Lease{Shard: shard, Fence: k.table.State(shard).Fence, Since: now, Until: sent.Add(Term - MaxSkew)}
	if old := k.leases[shard]; old != nil && old.Fence == l.Fence {
		l.Since = old.Since
		if old.Until.After(l.Until) {
			l.Until = old.Until
		}
	}
	k.leases[shard] = &l
}

func (k *Keeper) publish() {
	held := make(map[int]*Lease, len(k.leases))
	for n, l := range k.leases {
		held[n] = l
	}
	k.held.Store(&held)
}

// review sends what is due: acquires, releases and one renewal for all leases.
func (k *Keeper) review(ctx context.Context, appended chan<- struct{}) {
	now := k.Clock.Now()
	if !k.ready || k.inFlight {
		return
	}
	entries := k.due(now)
	if len(entries) == 0 {
		return
	}
	k.inFlight = true
	k.Appends.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		// A record whose answer is lost is settled by the fold: it is seen, or a
		// later review sends another.
		k.Log.Append(ctx, platform.LeasesStream, entries)
		appended <- struct{}{}
	}()
}

// due returns the records that this host should send at now.
func (k *Keeper) due(now time.Time) []platform.Entry {
	var entries []platform.Entry
	var renew, release []int
	members := k.Members.Members()
	for n := range Shards {
		wanted := members.Holder(Name(n)).Name == k.Self
		s := k.table.State(n)
		free := s.Holder == "" || now.Add(-MaxSkew).After(s.Expires)
		switch {
		case wanted && free:
			entries = append(entries, k.entry(AcquireKind, now, []int{n}))
		case s.Holder == k.id && wanted:
			renew = append(renew, n)
		case s.Holder == k.id:
			release = append(release, n)
			delete(k.leases, n)
		}
	}
	if len(release) > 0 {
		k.publish() // before the release is sent
		entries = append(entries, k.entry(ReleaseKind, now, release))
	}
	if len(renew) > 0 && now.Sub(k.renewed) >= RenewPeriod {
		k.renewed = now
		entries = append(entries, k.entry(RenewKind, now, renew))
	}
	k.forget(now)
	return entries
}

func (k *Keeper) entry(kind string, now time.Time, shards []int) platform.Entry {
	data, err := json.Marshal(Record{Holder: k.id, Shards: shards, SentAt: now})
	if err != nil {
		panic(err) // a Record always marshals
	}
	id := uuid.NewString()
	k.sent[id] = now
	return platform.Entry{ID: id, Kind: kind, Data: data}
}

// forget drops the sending times that can't extend a lease any more.
func (k *Keeper) forget(now time.Time) {
	for id, sent := range k.sent {
		if now.Sub(sent) > Term {
			delete(k.sent, id)
		}
	}
}
