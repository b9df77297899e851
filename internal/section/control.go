package section

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"github.com/cespare/xxhash/v2"
)

// control is the state of a follower's control goroutine.
type controlLoop struct {
	f         *Follower
	fold      *fold
	coverage  Coverage
	recent    recentRecords
	retention retention
	// seek is where reading goes on after a gap, beyond the fold's next record;
	// zero without a gap.
	seek platform.Offset
	// caughtUp is set once the log was read to its end, as far as it showed it.
	caughtUp bool
	started  time.Time

	reads    chan logRead
	replies  chan *FetchReply
	appended chan bool

	probing    map[string]bool // hosts with a probe under way
	probeCount int             // probes so far

	latestHint offsetHint      // the latest offset that a peer told of
	hintDue    <-chan struct{} // closed when the hint is to be followed

	writingSnapshot     bool
	dueSince            time.Time
	lastSnapshotAttempt time.Time
}

func newControlLoop(f *Follower) *controlLoop {
	return &controlLoop{
		f:        f,
		fold:     newFold(f.latestRule()),
		recent:   recentRecords{limit: f.recentLimit()},
		started:  f.Clock.Now(),
		reads:    make(chan logRead),
		replies:  make(chan *FetchReply),
		appended: make(chan bool),
		probing:  map[string]bool{},
	}
}

// position returns the offset to read from next, or zero to stop reading.
func (c *controlLoop) position() platform.Offset {
	if c.fold.halted() {
		return 0
	}
	return max(c.seek, c.fold.offset+1)
}

// read folds a batch of the log.
func (c *controlLoop) foldBatch(l logRead) {
	b := l.batch
	if b.Next > c.fold.offset {
		c.f.noteLogContact(l.sent, l.wait)
	}
	c.retention.oldest = max(c.retention.oldest, b.Oldest)
	c.retention.next = max(c.retention.next, b.Next)
	before := c.fold.offset
	for i := range b.Records {
		r := &b.Records[i]
		switch {
		case r.Offset <= c.fold.offset:
			continue
		case r.Offset == c.fold.offset+1:
			c.apply(r)
		case b.Oldest > c.fold.offset+1:
			c.seek = r.Offset + 1
			if c.adoptSnapshotRecord(r, b.Oldest) {
				return
			}
		}
	}
	if b.Oldest > c.fold.offset+1 {
		c.seek = max(c.seek, b.Oldest)
		return
	}
	c.caughtUp = c.fold.offset+1 >= b.Next
	c.publishWhenReady(c.fold.offset > before)
}

// settle publishes the fold if it is new. The first state waits until the log
// is read to its end and peers had their say.
func (c *controlLoop) publishWhenReady(changed bool) {
	if c.f.State() == nil && !(c.caughtUp && c.peerWaitOver()) {
		return
	}
	c.publish(changed)
}

// peersHeard reports whether peers had the time to say what is in force, so
// that a host that starts does not publish a lagging view of the log.
func (c *controlLoop) peerWaitOver() bool {
	return c.noPeers() || !c.f.currentContact().peer.IsZero() || c.f.Clock.Since(c.started) >= probeTimeout
}

// apply folds the next record.
func (c *controlLoop) apply(r *platform.Record) {
	c.fold.apply(r)
	c.recent.add(r)
	c.coverage.add(r, coveredOffset(r))
}

// covers returns what a snapshot record covers, or zero.
func coveredOffset(r *platform.Record) platform.Offset {
	var s struct{ Covers platform.Offset }
	if r.Kind != SnapshotKind || json.Unmarshal(r.Data, &s) != nil {
		return 0
	}
	return s.Covers
}

// adoptRecord takes the state of a snapshot record that closes the gap between
// the fold and the oldest record of the log.
func (c *controlLoop) adoptSnapshotRecord(r *platform.Record, oldest platform.Offset) bool {
	at := coveredOffset(r)
	if at <= c.fold.offset || at+1 < oldest || at >= r.Offset {
		return false
	}
	var s Snapshot
	if json.Unmarshal(r.Data, &s) != nil {
		return false
	}
	return c.adopt(&s, Coverage{Snapshot: Mark{r.Offset, r.At}, Covers: at})
}

// adopt replaces the fold by a newer one.
func (c *controlLoop) adopt(s *Snapshot, coverage Coverage) bool {
	if s.Covers <= c.fold.offset {
		return false
	}
	next, err := restore(s, c.f.latestRule())
	if err != nil {
		return false
	}
	c.fold, c.coverage, c.recent = next, coverage, recentRecords{limit: c.f.recentLimit()}
	if next.offset+1 >= c.retention.oldest {
		c.seek = 0
	}
	return true
}

// publish makes the fold the state in force, if it is new or the first.
func (c *controlLoop) publish(changed bool) {
	if !changed && c.f.State() != nil {
		return
	}
	s := c.fold.state()
	if c.fold.offset < c.f.Offset() {
		panic(fmt.Sprintf("section: offset %d in force after %d", c.fold.offset, c.f.Offset()))
	}
	c.f.published.Store(&publishedState{state: s, coverage: c.coverage.clone(), recent: c.recent.records()})
	if c.fold.halted() {
		c.f.mu.Lock()
		c.f.lastContact.halted = true
		c.f.mu.Unlock()
	}
	if c.f.OnState != nil {
		c.f.OnState(s)
	}
	if c.f.Observe != nil {
		c.f.Observe(s)
	}
}

// peerReply takes what a peer answered.
func (c *controlLoop) foldReply(p *FetchReply) {
	delete(c.probing, p.from)
	if p.failed {
		return
	}
	c.f.notePeerContact(p.sent)
	before := c.fold.offset
	switch {
	case p.Offset <= before || c.fold.halted():
	case p.Whole != nil:
		c.adopt(p.Whole, p.Coverage)
	default:
		for i := range p.Records {
			if p.Records[i].Offset == c.fold.offset+1 {
				c.apply(&p.Records[i])
			}
		}
		if c.fold.offset+1 >= c.retention.oldest {
			c.seek = 0
		}
	}
	if c.fold.offset > before {
		c.publish(true)
		return
	}
	c.publishWhenReady(false)
}

// snapshotFallback is the time after which another host than the one chosen
// writes a due snapshot; each host adds up to as much again.
const snapshotFallbackDelay = 5 * time.Second

// snapshotRetry is the time between two tries of one host.
const snapshotRetryInterval = 5 * time.Second

// snapshot writes one if it is due and this host's turn.
func (c *controlLoop) writeSnapshot(ctx context.Context, wg *sync.WaitGroup) {
	now := c.f.Clock.Now()
	if c.f.Members == nil || c.f.SnapshotAge == 0 || c.f.State() == nil || c.writingSnapshot || c.seek > 0 || c.fold.halted() {
		return
	}
	if !c.coverage.due(now, c.f.SnapshotAge, c.retention) {
		c.dueSince = time.Time{}
		return
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	if now.Sub(c.dueSince) < c.snapshotDelay() || now.Sub(c.lastSnapshotAttempt) < snapshotRetryInterval {
		return
	}
	c.writingSnapshot, c.lastSnapshotAttempt = true, now
	s := c.fold.state().snapshot()
	wg.Go(func() {
		err := c.f.appendSnapshot(ctx, s)
		select {
		case c.appended <- err == nil:
		case <-ctx.Done():
		}
	})
}

// turn returns how long after it is due this host writes the snapshot.
func (c *controlLoop) snapshotDelay() time.Duration {
	key := fmt.Sprintf("Snapshot %d", c.coverage.oldestNeeded().Offset)
	if c.f.Members.Members().Holder(key).Name == c.f.Self.Name {
		return 0
	}
	jitter := time.Duration(xxhash.Sum64String(key+c.f.Self.Name) % uint64(snapshotFallbackDelay))
	return snapshotFallbackDelay + jitter
}

func (f *Follower) appendSnapshot(ctx context.Context, s *Snapshot) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("Snapshot-%d-%s", s.Covers, f.Self.Name)
	_, err = f.Log.Append(ctx, platform.ConfigStream, []platform.Entry{{ID: id, Kind: SnapshotKind, Data: data}})
	return err
}

// snapshotDone ends a try. One that failed may have taken effect; reading on
// shows it.
func (c *controlLoop) snapshotDone(bool) { c.writingSnapshot = false }

// alone reports whether there is no peer to ask.
func (c *controlLoop) noPeers() bool {
	return c.f.Members == nil || len(c.peers()) == 0
}

// others returns the members without this host.
func (c *controlLoop) peers() []peer.Host {
	var out []peer.Host
	for _, h := range c.f.Members.Members().Hosts {
		if h.Name != c.f.Self.Name {
			out = append(out, h)
		}
	}
	return out
}
