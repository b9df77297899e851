// Package section folds the Config stream into the document in force.
//
// The log service has no compare-and-set, so every host folds the same records
// in offset order and reaches the same verdict on each: a change is accepted if
// it is based on the section's newest revision and leaves the whole document
// valid. This is optimistic locking with log order in place of compare-and-set.
//
// A Follower reads the stream, publishes each State, catches up from peers when
// its reads lag or the log is down, and writes a snapshot that covers records
// before they leave the log's retention. The offset of a Follower's state never
// decreases.
//
// docs/design/configuration.md explains the rules.
package section

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
)

// Timing of a follower.
const (
	// readWait is how long a read of the log waits for a record; readMargin is
	// the extra time before the read times out. Together they are short enough
	// that after a hung read a change is in force on every host within 5 s of the
	// log answering again.
	readWait   = 3 * time.Second
	readMargin = time.Second
	// minReadBackoff and maxReadBackoff bound the delay after a failed read.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = time.Second
	// tickPeriod is the interval at which peers are probed and the need for a
	// snapshot is checked.
	tickPeriod = time.Second
	// staleAfter is the time without contact to the log or a peer after which the
	// state counts as too old for new work.
	staleAfter = 5 * time.Second
)

// MemberLister lists the hosts that are believed to be alive.
type MemberLister interface{ Members() *peer.Members }

// Follower maintains the State by reading the Config stream. Exported fields
// must be set before Run. Without Members it neither probes peers nor writes
// snapshots.
type Follower struct {
	Log   platform.Log
	Clock *clock.Service

	Self    peer.Host
	Members MemberLister
	Caller  *peer.Caller
	// SnapshotAge is the age at which a needed record must be covered by a new
	// snapshot. It must be well under the log's retention; zero disables
	// snapshots.
	SnapshotAge time.Duration
	// LatestRule is the newest rule version that this host knows; zero means
	// declaration.LatestRule.
	LatestRule int

	// OnState is called with each new state, in order, by one goroutine.
	OnState func(*State)
	// Observe, unless nil, is called like OnState. It is used by tests.
	Observe func(*State)

	// maxRecent overrides maxRecentRecords in tests.
	maxRecent int

	published atomic.Pointer[publishedState]
	hints     chan offsetHint
	once      sync.Once

	mu          sync.Mutex
	lastContact contact
}

// contact holds the times of the last known contact with the log and with a
// peer, and whether the fold has halted.
type contact struct {
	log, peer time.Time
	halted    bool
}

// publishedState is what the control goroutine publishes to other goroutines.
type publishedState struct {
	state    *State
	coverage Coverage
	recent   []platform.Record
}

// State returns the state in force, or nil before the first.
func (f *Follower) State() *State {
	if s := f.published.Load(); s != nil {
		return s.state
	}
	return nil
}

// Offset returns the offset of the state in force, or zero before the first.
func (f *Follower) Offset() platform.Offset {
	if s := f.State(); s != nil {
		return s.Offset
	}
	return 0
}

// offsetHint is a peer's notification that it has a later offset in force.
type offsetHint struct {
	host   peer.Host
	offset platform.Offset
}

// NotifyPeerOffset notifies the follower that the state of peer h has the given
// offset. If the log does not deliver that offset within hintGrace, the
// follower fetches from that peer. NotifyPeerOffset does not block; it drops the
// notification when maxHints are pending.
func (f *Follower) NotifyPeerOffset(h peer.Host, offset platform.Offset) {
	if offset <= f.Offset() {
		return
	}
	select {
	case f.hintQueue() <- offsetHint{h, offset}:
	default:
	}
}

// maxHints bounds the queue of pending hints.
const maxHints = 16

func (f *Follower) hintQueue() chan offsetHint {
	f.once.Do(func() { f.hints = make(chan offsetHint, maxHints) })
	return f.hints
}

// notePeerContact records that a peer answered a call sent at the given time.
func (f *Follower) notePeerContact(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact.peer = sent
}

// noteLogContact records that the log answered a read sent at the given time.
// The contact is dated no later than the end of the read's wait, since a host
// that was frozen may process the answer much later.
func (f *Follower) noteLogContact(sent time.Time, wait time.Duration) {
	at := f.Clock.Now()
	if latest := sent.Add(wait); at.After(latest) {
		at = latest
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact.log = at
}

func (f *Follower) currentContact() contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

// Stale reports whether the state is too old for the host to accept new work:
// there is no state, neither the log nor a peer has answered for staleAfter, or
// a rule version is in force that this release does not know.
func (f *Follower) Stale(now time.Time) bool {
	c := f.currentContact()
	last := c.log
	if c.peer.After(last) {
		last = c.peer
	}
	return f.State() == nil || c.halted || now.Sub(last) > staleAfter
}

func (f *Follower) latestRule() int {
	if f.LatestRule == 0 {
		return declaration.LatestRule
	}
	return f.LatestRule
}

func (f *Follower) recentLimit() int {
	if f.maxRecent == 0 {
		return maxRecentRecords
	}
	return f.maxRecent
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	c := newControlLoop(f)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { f.readLog(ctx, c.reads) })
	ticks := f.Clock.Subscribe(ctx, tickPeriod)
	c.probePeers(ctx, &wg)
	for {
		select {
		case r := <-c.reads:
			c.foldBatch(r)
			r.next <- c.position()
		case p := <-c.replies:
			c.foldReply(p)
		case h := <-f.hintQueue():
			c.noteHint(h)
		case <-c.hintDue:
			c.followHint(ctx, &wg)
		case ok := <-c.appended:
			c.snapshotDone(ok)
		case <-ticks:
			c.publishWhenReady(false)
			c.probePeers(ctx, &wg)
			c.writeSnapshot(ctx, &wg)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// logRead passes a batch to the control goroutine, which replies on next with
// the offset to read from next.
type logRead struct {
	sent  time.Time
	wait  time.Duration
	batch platform.Batch
	next  chan platform.Offset
}

// readLog reads the stream one batch at a time until ctx ends or the control
// goroutine replies with offset zero.
func (f *Follower) readLog(ctx context.Context, reads chan<- logRead) {
	retry := f.newReadBackoff()
	next := make(chan platform.Offset, 1)
	from := platform.Offset(1)
	wait := time.Duration(0) // the first read returns the end of the stream at once
	for ctx.Err() == nil && from > 0 {
		sent := f.Clock.Now()
		batch, err := f.readOnce(ctx, from, wait)
		if err != nil {
			f.Clock.Sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		select {
		case reads <- logRead{sent, wait, batch, next}:
		case <-ctx.Done():
			return
		}
		select {
		case from = <-next:
		case <-ctx.Done():
			return
		}
		if len(batch.Records) == 0 && batch.Next < from {
			f.Clock.Sleep(ctx, minReadBackoff) // a stale answer returns without waiting
		}
		wait = readWait
	}
}

func (f *Follower) readOnce(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	return f.Log.Read(ctx, platform.ConfigStream, from, wait)
}

// newReadBackoff returns the backoff for failed reads. Its maximum differs from
// host to host so that the hosts don't all return to a recovered log at once.
func (f *Follower) newReadBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minReadBackoff
	retry.MaxInterval = maxReadBackoff/2 + time.Duration(xxhash.Sum64String(f.Self.Name)%uint64(maxReadBackoff/2))
	retry.RandomizationFactor = 0
	return retry
}
