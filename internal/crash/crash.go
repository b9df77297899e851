// Package crash records which requests broke targets, by digest of the request
// body, so that one request breaks at most two targets whichever host its caller
// tries.
//
// A Table counts the targets that each body broke. A body that broke one is a
// suspect: it runs at one target at a time, and if possible not at the same time
// as another suspect at that target, so that a second break distinguishes the
// body that causes breaks from those that merely ran at the same time. A body that broke
// MaxTargets is blocked, that is, not run again; the breaks of a body that ran to
// completion are cleared. The host that sees a break notifies every member before
// it does anything else with the request, and spreads a note for members that it
// couldn't reach. One host, picked by rendezvous hashing, arbitrates the runs of
// all suspects; if it can't be reached, each host decides on its own.
//
// That is for callers that ask for permission before each run. For those that can't
// wait for it, a Table also records the crashes of targets with all that may have caused
// each, a request or a part of its prompt; see suspectTable.
package crash

import (
	"context"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// Bounds of a Table.
const (
	// MaxTargets is the number of targets that a request may break.
	MaxTargets = 2
	// maxBodies bounds the bodies in a table; beyond it the body that broke a
	// target longest ago is dropped.
	maxBodies = 4096
	// bodyLifetime is how long a body stays in the table after its last break.
	bodyLifetime = time.Hour
)

// Error is the class of errors returned by this package.
var Error = errs.Class("crash")

// ErrBlocked is returned by Begin for a body that must not run again.
var ErrBlocked = Error.New("the body broke too many targets")

// Exchange is the part of peer.Exchange that a Table needs.
type Exchange interface {
	Members() *peer.Members
	Spread(peer.Note)
	OnNote(peer.NoteKind, func(peer.Note))
}

var _ Exchange = (*peer.Exchange)(nil)

// Table counts the targets that each body broke. Exported fields must be set, and
// Register called, before the first Begin.
type Table struct {
	// Self is the name of this host.
	Self     string
	Clock    *clock.Service
	Log      *zap.Logger
	Exchange Exchange
	Peers    *peer.Caller
	// Archive, unless nil, keeps what is blocked beyond the life of all hosts. It is
	// used by Run.
	Archive Archive
	// Hosts, unless nil, returns the number of hosts of the system, those included
	// that are cut off.
	Hosts func() int
	// OnCrash, unless nil, is called after each news that brings suspects. It must not
	// block.
	OnCrash func()

	mu       sync.Mutex
	bodies   *simplelru.LRU[string, *body]
	suspects suspectTable
	// unsaved holds the keys whose values in the archive are out of date.
	unsaved map[string]bool
	// active holds the permits of this host's runs that began before their body
	// was a suspect, and so without an arbiter, by digest.
	active  map[string]map[*Permit]bool
	arbiter arbiter
}

// body is the record of one digest.
type body struct {
	// breaks holds the updates that count, oldest first, at most MaxTargets.
	breaks      []Word
	lastBreakAt time.Time
	// clearedAt is the time of the last run to completion; earlier breaks don't
	// count.
	clearedAt time.Time
}

// Register subscribes t to notes from peers and registers its RPC service on s.
func (t *Table) Register(s *rpc.Server) error {
	t.Exchange.OnNote(peer.CrashNote, t.handleNote)
	return s.RegisterName(rpcName, &Service{table: t})
}

// Blocked reports whether a body with this digest must not run again.
func (t *Table) Blocked(digest string) bool { return t.breaks(digest) >= MaxTargets }

// Suspect reports whether a body with this digest has broken a target.
func (t *Table) Suspect(digest string) bool { return t.breaks(digest) > 0 }

func (t *Table) breaks(digest string) int {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.find(digest, now); b != nil {
		return len(b.breaks)
	}
	return 0
}

// find returns the body, or nil if it is unknown or expired. The caller holds
// t.mu.
func (t *Table) find(digest string, now time.Time) *body {
	if t.bodies == nil {
		return nil
	}
	b, ok := t.bodies.Peek(digest)
	if !ok || now.Sub(b.lastBreakAt) > bodyLifetime {
		return nil
	}
	return b
}

// getOrCreate returns the body, adding it if necessary, and sets the time of its
// last break. The caller holds t.mu.
func (t *Table) getOrCreate(digest string, now time.Time) *body {
	if t.bodies == nil {
		t.bodies, _ = simplelru.NewLRU[string, *body](maxBodies, nil)
	}
	b := t.find(digest, now)
	if b == nil {
		b = &body{}
	}
	t.bodies.Add(digest, b)
	b.lastBreakAt = now
	return b
}

// apply applies an update to the table.
func (t *Table) apply(w Word) {
	if w.Digest != "" {
		t.applyToBody(w)
	}
	if t.applyToSuspects(w) && t.OnCrash != nil {
		t.OnCrash()
	}
}

// applyToSuspects applies what w says of suspects and reports whether any of them is
// suspected of a further crash.
func (t *Table) applyToSuspects(w Word) bool {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.Clearing != nil && t.suspects.recordClearing(w.Clearing, now) {
		t.Log.Info("suspects cleared", zap.Stringers("Suspects", w.Clearing.Suspects), zap.Int("Incidents", len(w.Clearing.Incidents)))
	}
	if w.Crash == nil || !t.suspects.recordCrash(w.Crash, w.At, now) {
		return false
	}
	t.Log.Info("crash recorded", zap.String("Target", w.Target), zap.Int64("Born", w.Crash.Incident.Born), zap.Time("At", w.At),
		zap.Stringers("Suspects", w.Crash.Suspects))
	return true
}

// applyToBody applies what w says of the body with its digest.
func (t *Table) applyToBody(w Word) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.BreakID == "" {
		if b := t.find(w.Digest, now); b != nil {
			b.clear(w.At)
		}
		return
	}
	b := t.getOrCreate(w.Digest, now)
	if !b.addBreak(w) {
		return
	}
	t.Log.Info("break recorded", zap.String("BreakID", w.BreakID), zap.String("Digest", w.Digest), zap.String("Target", w.Target),
		zap.Time("At", w.At), zap.Int("Breaks", len(b.breaks)))
}

func (b *body) clear(at time.Time) {
	b.breaks = nil
	b.clearedAt = at
}

// addBreak adds the break w unless the body has it, or MaxTargets breaks, or was cleared
// since. It reports whether it did.
func (b *body) addBreak(w Word) bool {
	if !w.At.After(b.clearedAt) || len(b.breaks) >= MaxTargets || slices.ContainsFunc(b.breaks, w.sameCrash) {
		return false
	}
	b.breaks = append(b.breaks, w)
	return true
}

// sameCrash reports whether w and other are one break, or the breaks of two runs of a
// body that were under way at a target at the same time. What ended one of these ended
// the other, and the body, if it is the cause, crashed the target once.
func (w Word) sameCrash(other Word) bool {
	if w.BreakID == other.BreakID {
		return true
	}
	return w.Target == other.Target && w.BeganAt.Before(other.At) && other.BeganAt.Before(w.At)
}

// Clear removes the breaks of a body that ran to completion.
func (t *Table) Clear(digest string) {
	if !t.Suspect(digest) {
		return
	}
	w := Word{Digest: digest, At: t.Clock.Now()}
	t.apply(w)
	t.spreadNote(w)
}

// Permit is the permission to run a body once at one target.
type Permit struct {
	run Run
	// beganAt is the time of the permission.
	beganAt time.Time
	// reported reports whether the run was reported to an arbiter. It is guarded
	// by the table's mu.
	reported bool
}

// newPermit returns a permit for run and the number of breaks of its body. If
// there are none, the run may begin at once.
func (t *Table) newPermit(run Run) (*Permit, int) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &Permit{run: run, beganAt: now}
	if b := t.find(run.Digest, now); b != nil && len(b.breaks) > 0 {
		p.reported = true
		return p, len(b.breaks)
	}
	if t.active == nil {
		t.active = map[string]map[*Permit]bool{}
	}
	if t.active[run.Digest] == nil {
		t.active[run.Digest] = map[*Permit]bool{}
	}
	t.active[run.Digest][p] = true
	return p, 0
}

// releasePermit ends p and reports whether its run was reported to an arbiter.
func (t *Table) releasePermit(p *Permit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active[p.run.Digest], p)
	if len(t.active[p.run.Digest]) == 0 {
		delete(t.active, p.run.Digest)
	}
	return p.reported
}

// reportRuns reports to the arbiter the runs of a body that began on this host
// before the body became a suspect.
func (t *Table) reportRuns(ctx context.Context, digest string) {
	t.mu.Lock()
	var runs []Run
	for p := range t.active[digest] {
		if !p.reported {
			p.reported = true
			runs = append(runs, p.run)
		}
	}
	t.mu.Unlock()
	for _, r := range runs {
		r.Begun = true
		t.askArbiter(ctx, r)
	}
}

// Begin asks for permission to run a body at a target. A suspect may have to
// wait until another run has ended, at most until run.Until or the end of ctx.
func (t *Table) Begin(ctx context.Context, run Run) (*Permit, error) {
	p, breaks := t.newPermit(run)
	switch {
	case breaks == 0:
		return p, nil
	case breaks >= MaxTargets:
		return nil, ErrBlocked
	}
	err := t.arbitrate(ctx, run)
	p.beganAt = t.Clock.Now()
	return p, err
}

// End releases p and must be called once; broke reports whether the connection to
// the target broke during the run. After a break, End returns once the members
// are notified or maxNotifyTime has passed.
func (t *Table) End(ctx context.Context, p *Permit, broke bool) {
	reported := t.releasePermit(p)
	if broke {
		w := Word{BreakID: uuid.NewString(), Digest: p.run.Digest, Target: p.run.Target, BeganAt: p.beganAt, At: t.Clock.Now()}
		t.apply(w)
		t.reportRuns(ctx, w.Digest)
		t.notifyMembers(context.WithoutCancel(ctx), w)
		t.spreadNote(w)
	}
	if reported {
		t.reportEnd(p.run)
	}
}
