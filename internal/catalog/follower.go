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
type TableNews struct {
	// Table is the newest configuration that was read, or nil.
	Table *Table
	Next  Offset
}

// TargetNews is the result of reading the stream of targets.
type TargetNews struct {
	// Whole says that Changes holds every registered target; all others are gone.
	Whole   bool
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
	ReadTable(ctx context.Context, from Offset, wait time.Duration) (TableNews, error)
	ReadTargets(ctx context.Context, from Offset, wait time.Duration) (TargetNews, error)
}

// Times of the follower.
const (
	// minWait is the least time that a read waits for a change. Reads wait no longer
	// for startTime after the start: the host may turn out to read for others.
	minWait   = time.Second
	startTime = 5 * time.Second
	// readTimeout bounds a read beyond the time that it asks to wait.
	readTimeout = 700 * time.Millisecond
	// targetPause is the time between two reads of the targets, which collects
	// changes.
	targetPause = 250 * time.Millisecond
	// retryPause is the time between two reads after a failure.
	retryPause = 250 * time.Millisecond
	// lapseGrace is how long after an outage of the store a target is kept whose
	// entry lapsed meanwhile; a live target registers again by then.
	lapseGrace = 2 * time.Second
	// relayAfter is the number of failed reads in a row after which peers are
	// asked for what they have.
	relayAfter = 2
	// relayTimeout bounds a call to a peer.
	relayTimeout = 300 * time.Millisecond
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

	started  time.Time
	snapshot atomic.Pointer[Snapshot]
	// asking says that this host gets what is new from a reader.
	asking atomic.Bool

	mu      sync.Mutex
	table   *Table
	targets map[string]*row
	// whole says that the targets were read at least once.
	whole bool
	// position is the offset up to which the targets are known, tombs are the last
	// removals, all of them from tombsFrom on.
	position  Offset
	tombs     []TargetChange
	tombsFrom Offset
	// changedCh is closed at the next change.
	changedCh chan struct{}
	// lastRead and lastTable are the times of the last reads of the targets and of
	// the configurations, graceUntil the time until which entries that lapsed in
	// the last outage of the store are kept.
	lastRead   time.Time
	lastTable  time.Time
	graceUntil time.Time
}

// row is a target as the follower keeps it.
type row struct {
	target *Target
	offset Offset
	// lapsed says that the entry lapsed in an outage of the store.
	lapsed bool
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
	f.started = f.Clock.Now()
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
		if f.asking.Load() {
			wait = 0
			f.Clock.Sleep(ctx, retryPause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		news, err := f.Feed.ReadTable(callCtx, next, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		link.result(err)
		if err != nil {
			f.relay(ctx, link.failures)
			wait = 0
			f.Clock.Sleep(ctx, retryPause)
			continue
		}
		next, wait = news.Next, f.wait()
		f.noteTable()
		if news.Table != nil {
			f.TakeTable(news.Table, "store")
		}
	}
}

// TakeTable puts t in force unless a later version is; source is for the log.
func (f *Follower) TakeTable(t *Table, source string) {
	f.mu.Lock()
	if f.table != nil && t.Version <= f.table.Version {
		f.mu.Unlock()
		return
	}
	t.Index()
	f.table = t
	f.publish()
	f.wake()
	f.mu.Unlock()
	f.Log.Info("configuration in force", zap.Int64("Version", t.Version), zap.String("Source", source),
		zap.Int("Routes", len(t.Routes)), zap.Int("Workspaces", len(t.Workspaces)))
	f.changed()
}

// followTargets reads the targets.
func (f *Follower) followTargets(ctx context.Context) {
	next, wait := Start, time.Duration(0)
	link := &dependency{log: f.Log, name: "target stream"}
	for ctx.Err() == nil {
		if h, ok := f.reader(); ok && next != Start {
			answered := f.ask(ctx, h)
			if f.asking.Swap(answered) != answered {
				f.Log.Info("reading of the store changed hands", zap.String("Reader", h.Name), zap.Bool("Asking", answered))
			}
			if answered {
				continue
			}
			next, wait = f.known(), 0
		} else {
			f.asking.Store(false)
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		news, err := f.Feed.ReadTargets(callCtx, next, wait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		link.result(err)
		if err != nil {
			f.noteFailure(f.relay(ctx, link.failures))
			wait = 0
			f.Clock.Sleep(ctx, retryPause)
			continue
		}
		next = news.Next
		f.noteRead()
		f.TakeTargets(news)
		wait = f.nextWait()
		f.Clock.Sleep(ctx, targetPause)
	}
}

// nextWait is how long the next read waits: a lapsed entry needs a look when its
// grace ends.
func (f *Follower) nextWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.targets {
		if r.lapsed {
			return min(f.wait(), max(retryPause, f.graceUntil.Sub(f.Clock.Now())))
		}
	}
	return f.wait()
}

func (f *Follower) wait() time.Duration {
	if wait := f.askWait(); wait > 0 {
		return wait
	}
	if f.Clock.Since(f.started) < startTime {
		return minWait
	}
	return max(minWait, f.Wait)
}

// known is the offset up to which the targets are known.
func (f *Follower) known() Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.whole {
		return Start
	}
	return f.position
}

func (f *Follower) noteTable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTable = f.Clock.Now()
}

func (f *Follower) noteRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRead = f.Clock.Now()
}

// noteFailure takes a failed read for an outage of the store, in which entries
// lapse, unless a peer can read it.
func (f *Follower) noteFailure(peerReads bool) {
	if peerReads {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.graceUntil = f.Clock.Now().Add(lapseGrace)
}

// TakeTargets applies what was read of the targets.
func (f *Follower) TakeTargets(news TargetNews) {
	f.mu.Lock()
	now := f.Clock.Now()
	if f.targets == nil {
		f.targets = map[string]*row{}
	}
	changed := !f.whole
	seen := map[string]bool{}
	for _, c := range news.Changes {
		seen[c.ID] = true
		changed = f.change(c, now) || changed
	}
	if news.Whole {
		f.whole = true
		for id, r := range f.targets {
			if !seen[id] && r.offset < news.Next {
				// Its removal has no offset; askers need the whole list.
				f.tombsFrom = max(f.tombsFrom, news.Next)
				changed = f.remove(id, r, now) || changed
			}
		}
	}
	changed = f.expire(now) || changed
	if news.Next > f.position {
		f.position = news.Next
		f.wake()
	}
	if changed {
		f.publish()
	}
	f.mu.Unlock()
	if changed {
		f.changed()
	}
}

// change applies one entry and reports whether the snapshot differs; f.mu is held.
func (f *Follower) change(c TargetChange, now time.Time) bool {
	r := f.targets[c.ID]
	if c.Unreadable || r != nil && c.Offset < r.offset {
		return false
	}
	if c.Target == nil {
		if r == nil {
			return false
		}
		r.offset = c.Offset
		f.bury(c)
		return f.remove(c.ID, r, now)
	}
	if r == nil {
		f.targets[c.ID] = &row{target: c.Target, offset: c.Offset}
		f.logTarget("target registered", c.Target)
		return true
	}
	if c.Target.older(r.target) {
		return false
	}
	old := *r
	r.target, r.offset, r.lapsed = c.Target, c.Offset, false
	if same(old.target, c.Target) && !old.lapsed {
		return false
	}
	f.logTarget("target changed", c.Target)
	return true
}

// same reports whether only the sequences of two entries differ.
func same(a, b *Target) bool {
	c := *b
	c.Sequence = a.Sequence
	return *a == c
}

// remove takes the entry out, or lets it lapse if the store was away lately;
// f.mu is held.
func (f *Follower) remove(id string, r *row, now time.Time) bool {
	if !r.target.Leaving && now.Before(f.graceUntil) {
		if !r.lapsed {
			r.lapsed = true
			f.logTarget("target's entry lapsed in an outage", r.target)
		}
		return false
	}
	f.logTarget("target gone", r.target)
	delete(f.targets, id)
	return true
}

// expire takes out the entries that lapsed and did not come back; f.mu is held.
func (f *Follower) expire(now time.Time) bool {
	if now.Before(f.graceUntil) {
		return false
	}
	changed := false
	for id, r := range f.targets {
		if r.lapsed {
			f.logTarget("target gone after an outage", r.target)
			delete(f.targets, id)
			changed = true
		}
	}
	return changed
}

func (f *Follower) logTarget(event string, t *Target) {
	f.Log.Info(event, zap.String("Target", t.ID), zap.String("Service", t.Service), zap.Stringer("Addr", t.Addr),
		zap.Bool("Leaving", t.Leaving), zap.Int64("Born", t.Born), zap.Int64("Sequence", t.Sequence))
}

// publish makes a snapshot; f.mu is held.
func (f *Follower) publish() {
	s := &Snapshot{Table: f.table}
	if f.whole {
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

func (f *Follower) changed() {
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

func (d *dependency) result(err error) {
	switch {
	case err != nil && d.failures == 0:
		d.log.Warn("dependency lost", zap.String("Dependency", d.name), journal.Error(err))
	case err == nil && d.failures > 0:
		d.log.Info("dependency regained", zap.String("Dependency", d.name), zap.Int("Failures", d.failures))
	}
	if err == nil {
		d.failures = 0
	} else {
		d.failures++
	}
}

// Register adds the service by which peers ask for what this host has.
func (f *Follower) Register(s *rpc.Server) error {
	return s.RegisterName(serviceName, &Relay{f})
}
