package catalog

import (
	"context"
	"net/rpc"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// TableUpdate is the result of reading the operators' topic, which holds the
// configurations and the evacuations of failure domains.
type TableUpdate struct {
	// Full means that Evacuations holds every evacuation in force; all others have
	// ended.
	Full bool
	// Table is the newest configuration that was read, or nil.
	Table *Table
	// Evacuations are in the order of their offsets.
	Evacuations []EvacuationChange
	// Next is the offset after the last record that was read, in Era.
	Next Offset
	Era  Era
}

// position returns the position up to which u tells the state.
func (u *TableUpdate) position() Position { return Position{u.Era, u.Next} }

// TargetsUpdate is the result of reading the stream of targets.
type TargetsUpdate struct {
	// Full means that Changes holds every registered target; all others are gone.
	Full    bool
	Changes []TargetChange
	// Next is the offset after the last record that was read, in Era.
	Next Offset
	Era  Era
}

// position returns the position up to which u tells the state.
func (u *TargetsUpdate) position() Position { return Position{u.Era, u.Next} }

// TargetChange is an entry of a target or, with a nil Target, its removal.
type TargetChange struct {
	ID     string
	Target *Target
	// Unreadable means that the entry could not be decoded; a known target stays
	// as it was.
	Unreadable bool
	Offset     Offset
}

// Feed reads the operators' topic and the stream of targets. A read from Start, from
// an offset that is no longer kept, or from a position of another era than the store's,
// returns the newest record of every key.
type Feed interface {
	ReadTable(ctx context.Context, from Position, wait time.Duration) (TableUpdate, error)
	ReadTargets(ctx context.Context, from Position, wait time.Duration) (TargetsUpdate, error)
}

// Timing of the follower.
const (
	// minReadWait is the shortest time that a read waits for a change. readMargin is
	// the part of ApplyTime that is left after the longest: the store may leave a
	// waiting read unaware of a change until its wait is over.
	minReadWait = time.Second
	readMargin  = 500 * time.Millisecond
	// targetReadInterval is the pause between two reads of the targets, so that
	// one read collects several changes.
	targetReadInterval = 250 * time.Millisecond
	// retryDelay is the pause after a failed read, pollerRetryDelay that of a host
	// among so many that most poll a reader.
	retryDelay       = 250 * time.Millisecond
	pollerRetryDelay = time.Second
	// maxApplyTime bounds ApplyTime where the timing of reads of the store is derived from
	// it. Evacuations have to be in force within 5 s, even if ApplyTime is longer.
	maxApplyTime = 4 * time.Second
	// lapseGrace is how long after an outage of the store a target is kept whose
	// entry lapsed or was lost in the outage; a live target registers again by then.
	lapseGrace = 2 * time.Second
	// peerFetchTimeout bounds a fetch from one peer, maxPeersAsked the peers that are
	// asked after one failed read.
	peerFetchTimeout = 300 * time.Millisecond
	maxPeersAsked    = 3
)

// Members returns the hosts of the system.
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
	// ApplyTime is the time within which a change has to be in force.
	ApplyTime time.Duration
	// OnChange, unless nil, is called after each new snapshot.
	OnChange func(*Snapshot)
	// OnEntry, unless nil, is called with the target of each new entry before a
	// snapshot holds it. It must not block or call the Follower, except for Snapshot.
	OnEntry func(*Target)
	// OnPutBack, unless nil, is called with the snapshot in force and a failure domain
	// that is put back into service, before a snapshot without its evacuation is
	// published. It must not block.
	OnPutBack func(*Snapshot, string)
	// OnNewEra, unless nil, is called once for each later era of the store that this host
	// learns of. It must not block or call the Follower.
	OnNewEra func(Era)

	snapshot atomic.Pointer[Snapshot]
	// pollsReader is set while this host gets changes from a reader host instead
	// of the store.
	pollsReader atomic.Bool
	// lastSource is the name of the host that last gave the state in place of the
	// store. It is owned by followTargets.
	lastSource string

	// readsTopic is set while the polled reader does not relay the state of the operators'
	// topic that this host knows: it is of the former version or behind. This host then
	// reads the topic itself.
	readsTopic atomic.Bool

	mu    sync.Mutex
	table *Table
	// tablePartial is set if the table came from a host of the former version. Fields that
	// this version has added are missing from it.
	tablePartial bool
	// era is the latest era of the store that this host has learned of.
	era Era
	// evacuations holds the evacuations in force as of tablePosition, a position in the
	// operators' topic that is zero until the topic has been read. evacuationsChanged is
	// the position at which evacuations last changed.
	evacuations        map[string]Position
	tablePosition      Position
	evacuationsChanged Position
	targets            map[string]*targetEntry
	// synced is set once the full list of targets has been read.
	synced bool
	// position is the position up to which the targets are known. tombstones holds
	// the last removals in its era, complete from tombstonesFrom on.
	position       Position
	tombstones     []TargetChange
	tombstonesFrom Position
	// removed holds the targets that were removed lately, by ID.
	removed map[string]removedTarget
	// changedCh is closed at the next change.
	changedCh chan struct{}
	// lastTargetsRead and lastTableRead are the times of the last successful reads
	// of the targets and of the configurations, by this host or its source. Entries that lapsed in the last
	// outage of the store are kept until graceUntil.
	lastTargetsRead time.Time
	lastTableRead   time.Time
	graceUntil      time.Time
	// failing is set while this host has its state neither from the store nor from a
	// host that has it from the store.
	failing bool
}

// Snapshot returns the current snapshot; it is never nil.
func (f *Follower) Snapshot() *Snapshot {
	if s := f.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Ready reports whether the configuration, the evacuations and the targets are known.
func (f *Follower) Ready() bool {
	s := f.snapshot.Load()
	return s != nil && s.Table != nil && s.Targets != nil && s.Evacuated != nil
}

// Run follows both streams until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { f.followTable(ctx) })
	wg.Go(func() { f.followTargets(ctx) })
	wg.Wait()
	return ctx.Err()
}

// followTable reads the operators' topic until ctx ends.
func (f *Follower) followTable(ctx context.Context) {
	next := Position{Offset: Start}
	reads := streamReads{log: f.Log, name: "configuration stream"}
	for ctx.Err() == nil {
		if f.pollsReader.Load() && !f.readsTopic.Load() {
			reads.wait = 0
			f.Clock.Sleep(ctx, retryDelay)
			continue
		}
		start := f.Clock.Now()
		var update TableUpdate
		switch reads.try(ctx, func(ctx context.Context) (err error) {
			update, err = f.Feed.ReadTable(ctx, next, reads.wait)
			return err
		}) {
		case readFailed:
			f.fetchFromPeers(ctx)
			f.Clock.Sleep(ctx, f.retryPause())
		case readDone:
			// A read from Start returns the newest record of every key.
			update.Full = update.Full || next.Offset == Start
			next, reads.wait = update.position(), f.readWait()
			f.ApplyTableUpdate(update, Source{Name: "store", Took: f.Clock.Since(start), ReadAge: f.tableReadAge()})
			if known := f.topicPosition(); next.Before(known) {
				// A peer has read more.
				next, reads.wait = known, 0
				f.Clock.Sleep(ctx, retryDelay)
				continue
			}
			f.recordTableRead()
		}
	}
}

// Source tells the log how a state was read.
type Source struct {
	// Name is that of a host, or "store".
	Name string
	// Took is the duration of the read, ReadAge the time since the last one that
	// succeeded before it.
	Took, ReadAge time.Duration
}

// ApplyTableUpdate applies the result of a read of the operators' topic. Evacuations are
// applied first, so that no request uses a new configuration without them.
func (f *Follower) ApplyTableUpdate(update TableUpdate, source Source) {
	f.applyEvacuations(update, source)
	if update.Table != nil {
		f.ApplyTable(update.Table, source)
	}
}

// ApplyTable puts t in force unless the version in force is the same or newer.
func (f *Follower) ApplyTable(t *Table, source Source) { f.applyTable(t, false, source) }

// applyTable is like ApplyTable for a table that may be partial (see tablePartial). A
// whole table also replaces a partial one of the same version.
func (f *Follower) applyTable(t *Table, partial bool, source Source) {
	f.mu.Lock()
	if f.table != nil && (t.Version < f.table.Version || t.Version == f.table.Version && (partial || !f.tablePartial)) {
		f.mu.Unlock()
		return
	}
	former := int64(0)
	if f.table != nil {
		former = f.table.Version
	}
	t.Index()
	f.table, f.tablePartial = t, partial
	f.publish()
	f.notifyWaiters()
	f.mu.Unlock()
	f.Log.Info("configuration in force", zap.Int64("Version", t.Version), zap.String("Source", source.Name),
		zap.Bool("Partial", partial), zap.Duration("Took", source.Took), zap.Int64("Former", former), zap.Duration("FormerReadAge", source.ReadAge),
		zap.Int("Routes", len(t.Routes)), zap.Int("Workspaces", len(t.Workspaces)))
	f.notifyChange()
}

// readWait returns how long one read of the store waits for a change.
func (f *Follower) readWait() time.Duration {
	if wait := f.pollWait(); wait > 0 {
		return wait
	}
	return max(minReadWait, f.applyTime()-readMargin)
}

// applyTime returns the time within which reads of the store have to find a change.
func (f *Follower) applyTime() time.Duration { return min(f.ApplyTime, maxApplyTime) }

// tableReadAge returns the time since the last read of the configuration that
// succeeded, or zero before the first.
func (f *Follower) tableReadAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastTableRead.IsZero() {
		return 0
	}
	return f.Clock.Since(f.lastTableRead)
}

func (f *Follower) recordTableRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTableRead = f.Clock.Now()
}

// publish stores a new snapshot; f.mu is held.
func (f *Follower) publish() {
	s := &Snapshot{Table: f.table, Evacuated: f.evacuations}
	if f.synced {
		s.Targets = map[string][]*Target{}
		for _, r := range f.targets {
			if !r.restored {
				s.Targets[r.target.Service] = append(s.Targets[r.target.Service], r.target)
			}
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

// Register adds the RPC service from which peers fetch the state of f.
func (f *Follower) Register(s *rpc.Server) error {
	return s.RegisterName(rpcName, &Relay{f})
}
