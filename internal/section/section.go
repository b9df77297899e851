// Package section folds the Config stream into the document in force.
//
// The log service has no compare-and-set, so every host folds the same records
// in the order of their offsets and reaches the same verdict on each: a change
// is accepted if it was made from the section's newest revision and leaves the
// whole document valid. This is optimistic locking with log order in place of
// compare-and-set.
//
// A Follower reads the stream, publishes each State, catches up from peers when
// its reads lag or the log is down, and sees to it that a snapshot covers the
// records that are about to leave the log's retention. The offset of a
// Follower's state only ever grows.
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

// Times of a follower.
const (
	// readWait is how long a read of the log waits for a record, readMargin what
	// it may take beyond. A read that hangs is given up in time to be in force
	// everywhere within 5 s once the log answers again.
	readWait   = 3 * time.Second
	readMargin = time.Second
	// minReadPause and maxReadPause bound the time between reads that failed.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = time.Second
	// tickPeriod is the time between two looks at peers and snapshots.
	tickPeriod = time.Second
	// staleAfter is the time without contact to log or peers after which the
	// state may be too old to serve by.
	staleAfter = 5 * time.Second
)

// Lister lists the hosts that are believed alive.
type MemberLister interface{ Members() *peer.Members }

// Follower keeps the state by reading the Config stream. Exported fields are
// set before Run. Without Members it neither asks peers nor writes snapshots.
type Follower struct {
	Log   platform.Log
	Clock *clock.Service

	Self    peer.Host
	Members MemberLister
	Caller  *peer.Caller
	// SnapshotAge is the age at which a needed record gets covered by a snapshot.
	// It must be well under the log's retention; zero writes no snapshots.
	SnapshotAge time.Duration
	// LatestRule is the newest rule that is known; zero means that of this
	// release.
	LatestRule int

	// OnState is called with each new state, in order, by one goroutine.
	OnState func(*State)
	// Observe, unless nil, is called like OnState; it is for tests.
	Observe func(*State)

	// maxRecent replaces maxRecentRecords in tests.
	maxRecent int

	published atomic.Pointer[publishedState]
	hints     chan offsetHint
	once      sync.Once

	mu          sync.Mutex
	lastContact contact
}

// contact holds the times up to which the log and a peer are known to have been
// reached.
type contact struct {
	log, peer time.Time
	halted    bool
}

// shared is what the control goroutine publishes to others.
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

// hint is a peer's word that it has a later offset in force.
type offsetHint struct {
	host   peer.Host
	offset platform.Offset
}

// Behind takes a peer's word that its state has the given offset. If the log
// does not bring the follower there within hintGrace, it asks that peer. Behind
// does not block.
func (f *Follower) NotifyPeerOffset(h peer.Host, offset platform.Offset) {
	if offset <= f.Offset() {
		return
	}
	select {
	case f.hintQueue() <- offsetHint{h, offset}:
	default:
	}
}

// maxHints bounds the hints that wait.
const maxHints = 16

func (f *Follower) hintQueue() chan offsetHint {
	f.once.Do(func() { f.hints = make(chan offsetHint, maxHints) })
	return f.hints
}

// reachedPeer notes an answer of a peer to a call sent at the given time.
func (f *Follower) notePeerContact(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact.peer = sent
}

// reachedLog notes an answer of the log to a read sent at the given time. It
// dates from the end of the read's wait at the latest: a host that was frozen
// may find it much later.
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

// Stale reports whether the state may be too old to take new work by: there is
// none, neither the log nor a peer answered for some seconds, or a rule is in
// force that this release does not know.
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

// logRead is a batch on its way to the control goroutine, which answers with
// the offset to read from next.
type logRead struct {
	sent  time.Time
	wait  time.Duration
	batch platform.Batch
	next  chan platform.Offset
}

// readLog reads the stream, one batch at a time, until ctx ends or the control
// goroutine answers zero.
func (f *Follower) readLog(ctx context.Context, reads chan<- logRead) {
	pause := f.newReadBackoff()
	next := make(chan platform.Offset, 1)
	from := platform.Offset(1)
	wait := time.Duration(0) // the first read shows at once how far the stream goes
	for ctx.Err() == nil && from > 0 {
		sent := f.Clock.Now()
		batch, err := f.readOnce(ctx, from, wait)
		if err != nil {
			f.Clock.Sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
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
			f.Clock.Sleep(ctx, minReadBackoff) // a stale answer came at once
		}
		wait = readWait
	}
}

func (f *Follower) readOnce(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	return f.Log.Read(ctx, platform.ConfigStream, from, wait)
}

// readPause returns the pauses between failed reads. They differ from host to
// host, so that a log that comes back is not met by all at once.
func (f *Follower) newReadBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minReadBackoff
	pause.MaxInterval = maxReadBackoff/2 + time.Duration(xxhash.Sum64String(f.Self.Name)%uint64(maxReadBackoff/2))
	pause.RandomizationFactor = 0
	return pause
}
