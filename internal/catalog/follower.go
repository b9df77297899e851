package catalog

import (
	"context"
	"net/rpc"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Offset is a position in one of the platform's streams. Start is before every
// record.
type Offset int64

// Start asks for the newest record of every key.
const Start Offset = -1

// TableNews is the result of reading the stream of configurations.
type TableUpdate struct {
	// Table is the newest configuration that was read, or nil.
	Table *Table
	Next  Offset
}

// TargetNews is the result of reading the stream of targets.
type TargetsUpdate struct {
	// Whole says that Changes holds every registered target; all others are gone.
	Full    bool
	Changes []TargetChange
	Next    Offset
}

// TargetChange is an entry of a target or, with a nil Target, its removal.
type TargetChange struct {
	ID     string
	Target *Target
	// Unreadable entries say nothing: a target that was known stays as it was.
	Unreadable bool
	Offset     Offset
}

// Feed reads the two streams. A read from Start, or from an offset that is no
// longer kept, returns the newest record of every key.
type Feed interface {
	ReadTable(ctx context.Context, from Offset, wait time.Duration) (TableUpdate, error)
	ReadTargets(ctx context.Context, from Offset, wait time.Duration) (TargetsUpdate, error)
}

// Times of the follower.
const (
	// minWait is the least time that a read waits for a change. Reads wait no longer
	// for settleTime after the start, since the host may turn out to read for
	// others, and after an outage, since a store that has just come back may leave
	// a waiting read unaware of a change until its wait is over.
	minReadWait = time.Second
	settleTime  = 5 * time.Second
	// readTimeout bounds a read beyond the time that it asks to wait.
	readTimeout = 700 * time.Millisecond
	// targetPause is the time between two reads of the targets, which collects
	// changes.
	targetReadInterval = 250 * time.Millisecond
	// retryPause is the time between two reads after a failure.
	retryDelay = 250 * time.Millisecond
	// lapseGrace is how long after an outage of the store a target is kept whose
	// entry lapsed meanwhile; a live target registers again by then.
	lapseGrace = 2 * time.Second
	// relayAfter is the number of failed reads in a row after which peers are
	// asked for what they have.
	peerFetchAfter = 2
	// relayTimeout bounds a call to a peer.
	peerFetchTimeout = 300 * time.Millisecond
)

// Members says which hosts may be asked.
type Members interface {
	Members() *peer.Members
}

// Follower keeps a Snapshot up to date. Exported fields are set before Run.
type Follower struct {
	Feed    Feed
	Clock   *clock.Service
	Log     *zap.Logger
	Self    string
	Members Members
	// Seeds are hosts to ask besides the members.
	Seeds []peer.Host
	Peers *peer.Caller
	// Wait is how long one read waits for a change. A store that was away, or a
	// connection that fell silent, may leave a read without an answer, and the next
	// one has to find a change that came meanwhile in time.
	Wait time.Duration
	// ApplyTime is the time in which a change has to be in force.
	ApplyTime time.Duration
	// OnChange, unless nil, is called after each new snapshot.
	OnChange func(*Snapshot)

	snapshot atomic.Pointer[Snapshot]
	// asking says that this host gets what is new from a reader.
	pollsReader atomic.Bool

	mu      sync.Mutex
	table   *Table
	targets map[string]*targetEntry
	// whole says that the targets were read at least once.
	synced bool
	// position is the offset up to which the targets are known, tombs are the last
	// removals, all of them from tombsFrom on.
	position       Offset
	tombstones     []TargetChange
	tombstonesFrom Offset
	// changedCh is closed at the next change.
	changedCh chan struct{}
	// lastRead and lastTable are the times of the last reads of the targets and of
	// the configurations, graceUntil the time until which entries that lapsed in
	// the last outage of the store are kept.
	lastTargetsRead time.Time
	lastTableRead   time.Time
	graceUntil      time.Time
	// settled is the time until which reads wait for a short time only.
	settlingUntil time.Time
}

// Snapshot returns what is in force; it is never nil.
func (f *Follower) Snapshot() *Snapshot {
	if s := f.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Ready reports whether both the configuration and the targets are known.
func (f *Follower) Ready() bool {
	s := f.snapshot.Load()
	return s != nil && s.Table != nil && s.Targets != nil
}

// Run follows both streams until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.startSettling()
	var wg sync.WaitGroup
	wg.Go(func() { f.followTable(ctx) })
	wg.Go(func() { f.followTargets(ctx) })
	wg.Wait()
	return ctx.Err()
}

// followTable reads the configurations.
func (f *Follower) followTable(ctx context.Context) {
	next, wait := Start, time.Duration(0)
	link := &dependency{log: f.Log, name: "configuration stream"}
	for ctx.Err() == nil {
		if f.pollsReader.Load() {
			wait = 0
			f.Clock.Sleep(ctx, retryDelay)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		news, err := f.Feed.ReadTable(callCtx, next, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if link.record(err) {
			f.startSettling()
		}
		if err != nil {
			f.fetchFromPeers(ctx, link.failures)
			wait = 0
			f.Clock.Sleep(ctx, retryDelay)
			continue
		}
		next, wait = news.Next, f.readWait()
		f.recordTableRead()
		if news.Table != nil {
			f.ApplyTable(news.Table, "store")
		}
	}
}

// TakeTable puts t in force unless a later version is; source is for the log.
func (f *Follower) ApplyTable(t *Table, source string) {
	f.mu.Lock()
	if f.table != nil && t.Version <= f.table.Version {
		f.mu.Unlock()
		return
	}
	t.Index()
	f.table = t
	f.publish()
	f.notifyWaiters()
	f.mu.Unlock()
	f.Log.Info("configuration in force", zap.Int64("Version", t.Version), zap.String("Source", source),
		zap.Int("Routes", len(t.Routes)), zap.Int("Workspaces", len(t.Workspaces)))
	f.notifyChange()
}

func (f *Follower) readWait() time.Duration {
	if wait := f.pollWait(); wait > 0 {
		return wait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now().Before(f.settlingUntil) {
		return minReadWait
	}
	return max(minReadWait, f.Wait)
}

// settle keeps the waits of reads short for a while.
func (f *Follower) startSettling() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settlingUntil = f.Clock.Now().Add(settleTime)
}

func (f *Follower) recordTableRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTableRead = f.Clock.Now()
}

// publish makes a snapshot; f.mu is held.
func (f *Follower) publish() {
	s := &Snapshot{Table: f.table}
	if f.synced {
		s.Targets = map[string][]*Target{}
		for _, r := range f.targets {
			s.Targets[r.target.Service] = append(s.Targets[r.target.Service], r.target)
		}
		for _, targets := range s.Targets {
			sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
		}
	}
	f.snapshot.Store(s)
}

func (f *Follower) notifyChange() {
	if f.OnChange != nil {
		f.OnChange(f.Snapshot())
	}
}

// dependency logs the loss and return of something that is read again and again.
type dependency struct {
	log      *zap.Logger
	name     string
	failures int
}

// result takes the outcome of a read and reports whether it ends an outage.
func (d *dependency) record(err error) (regained bool) {
	switch {
	case err != nil && d.failures == 0:
		d.log.Warn("dependency lost", zap.String("Dependency", d.name), journal.Error(err))
	case err == nil && d.failures > 0:
		d.log.Info("dependency regained", zap.String("Dependency", d.name), zap.Int("Failures", d.failures))
		regained = true
	}
	if err == nil {
		d.failures = 0
	} else {
		d.failures++
	}
	return regained
}

// Register adds the service by which peers ask for what this host has.
func (f *Follower) Register(s *rpc.Server) error {
	return s.RegisterName(rpcName, &Relay{f})
}
