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

// controlLoop is the state of a follower's control goroutine, which alone folds
// records and publishes states.
type controlLoop struct {
	f         *Follower
	fold      *fold
	coverage  Coverage
	recent    recentRecords
	retention retention
	// seek is the offset at which reading resumes after a gap, beyond the fold's
	// next record; zero if there is no gap.
	seek platform.Offset
	// caughtUp is set once the log has been read to its end as the log reports it.
	caughtUp bool
	started  time.Time

	reads    chan logRead
	replies  chan *FetchReply
	appended chan bool

	probing    map[string]bool // hosts with a probe under way
	probeCount int             // probes since the start

	latestHint offsetHint      // the latest offset that a peer reported
	hintDue    <-chan struct{} // closed when hintGrace is over

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

// foldBatch folds a batch of the log. If the log no longer keeps the next record,
// it adopts a snapshot that closes the gap, if the batch has one.
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

// publishWhenReady publishes the fold if it has changed. The first state is held
// back until the log has been read to its end and the wait for peers is over.
func (c *controlLoop) publishWhenReady(changed bool) {
	if c.f.State() == nil && !(c.caughtUp && c.peerWaitOver()) {
		return
	}
	c.publish(changed)
}

// peerWaitOver reports whether a peer has answered or had the time to. A host
// that starts waits for this so as not to publish a lagging view of the log.
func (c *controlLoop) peerWaitOver() bool {
	return c.noPeers() || !c.f.currentContact().peer.IsZero() || c.f.Clock.Since(c.started) >= probeTimeout
}

// apply folds the next record.
func (c *controlLoop) apply(r *platform.Record) {
	c.fold.apply(r)
	c.recent.add(r)
	c.coverage.add(r, coveredOffset(r))
}

// coveredOffset returns the offset that a snapshot record covers, or zero.
func coveredOffset(r *platform.Record) platform.Offset {
	var s struct{ Covers platform.Offset }
	if r.Kind != SnapshotKind || json.Unmarshal(r.Data, &s) != nil {
		return 0
	}
	return s.Covers
}

// adoptSnapshotRecord adopts the state of a snapshot record if it closes the gap
// between the fold and the oldest record of the log.
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

// adopt replaces the fold by that of a snapshot if the snapshot is newer.
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

// publish makes the fold the state in force if it has changed or is the first.
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

// foldReply processes the reply to a probe and folds what is new in it.
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

// snapshotFallbackDelay is the time after which a host other than the holder
// writes a due snapshot; each host adds a jitter of up to the same length.
const snapshotFallbackDelay = 5 * time.Second

// snapshotRetryInterval is the minimum time between two snapshot appends by one
// host.
const snapshotRetryInterval = 5 * time.Second

// writeSnapshot appends a snapshot if one is due and this host's snapshotDelay
// has passed.
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

// snapshotDelay returns how long after a snapshot becomes due this host writes
// it: at once if it is the holder, later otherwise.
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

// snapshotDone ends an append. The result is ignored: an append that failed may
// still have taken effect, and reading the log shows it.
func (c *controlLoop) snapshotDone(bool) { c.writingSnapshot = false }

// noPeers reports whether there is no peer to probe.
func (c *controlLoop) noPeers() bool {
	return c.f.Members == nil || len(c.peers()) == 0
}

// peers returns the members other than this host.
func (c *controlLoop) peers() []peer.Host {
	var out []peer.Host
	for _, h := range c.f.Members.Members().Hosts {
		if h.Name != c.f.Self.Name {
			out = append(out, h)
		}
	}
	return out
}
