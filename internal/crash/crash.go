// Package crash remembers requests whose runs broke targets, by digest of the
// body, so that one request breaks at most two targets whatever host its caller
// tries.
//
// A Table counts the targets that each body broke. A body that broke one is a
// suspect: it runs at one target at a time, and not beside another suspect if
// that can be helped, so that the second break tells the guilty body from the
// innocent ones that ran beside it. A body that broke MaxTargets is guilty and
// is not run again; one that ran to its end is cleared. The host that sees a
// break tells every member before it does anything else with the request, and
// spreads a note for those that it couldn't reach. Suspects are arbitrated by
// the host that rendezvous names for them all; without it each host decides
// alone.
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
)

// Bounds of a Table.
const (
	// MaxTargets is the number of targets that a request may break.
	MaxTargets = 2
	// maxBodies is the number of bodies that are remembered; beyond it the one
	// that broke a target longest ago is forgotten.
	maxBodies = 4096
	// memory is the time after which a body is forgotten.
	bodyLifetime = time.Hour
)

// Error is the class of the errors of this package.
var Error = errs.Class("crash")

// ErrGuilty is the error of Begin for a body that must not run again.
var ErrBlocked = Error.New("the body broke too many targets")

// Members is the part of peer.Exchange that a Table needs.
type Members interface {
	Members() *peer.Members
	Spread(peer.Note)
	OnNote(peer.NoteKind, func(peer.Note))
}

var _ Members = (*peer.Exchange)(nil)

// Table counts the targets that each body broke. Exported fields are set, and
// Register called, before the first Begin.
type Table struct {
	// Self is the name of this host.
	Self    string
	Clock   *clock.Service
	Members Members
	Peers   *peer.Caller
	// Limit is the number of targets that a request may break; zero means
	// MaxTargets.
	Limit int

	mu     sync.Mutex
	bodies *simplelru.LRU[string, *body]
	// active has the permits of this host that no arbiter knows of, by digest.
	active  map[string]map[*Permit]bool
	arbiter arbiter
}

// body is what is known of one digest.
type body struct {
	// broken has the IDs of the breaks, oldest first, at most the table's limit.
	breakIDs    []string
	lastBreakAt time.Time
	// cleared is the time of the last run to the end; breaks before it don't
	// count.
	clearedAt time.Time
}

// Register subscribes t to the notes of peers and offers its service to them.
func (t *Table) Register(s *rpc.Server) error {
	t.Members.OnNote(peer.CrashNote, t.handleNote)
	return s.RegisterName(serviceName, &Service{table: t})
}

// Guilty reports whether a body with this digest must not run again.
func (t *Table) Blocked(digest string) bool { return t.breaks(digest) >= t.limit() }

func (t *Table) limit() int {
	if t.Limit > 0 {
		return t.Limit
	}
	return MaxTargets
}

// Broke records that a run of digest broke target, for callers that ask Guilty
// before each run and need no permit.
func (t *Table) RecordBreak(ctx context.Context, digest, target string) {
	w := Word{BreakID: uuid.NewString(), Digest: digest, Target: target, At: t.Clock.Now()}
	t.apply(w)
	t.notifyMembers(ctx, w)
	t.spreadNote(w)
}

// Suspect reports whether a body with this digest has broken a target.
func (t *Table) Suspect(digest string) bool { return t.breaks(digest) > 0 }

func (t *Table) breaks(digest string) int {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.find(digest, now); b != nil {
		return len(b.breakIDs)
	}
	return 0
}

// find returns the body unless it is unknown or forgotten; t.mu is held.
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

// open returns the body, which it adds if needed; t.mu is held.
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

// apply adds a word to the table.
func (t *Table) apply(w Word) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.BreakID == "" {
		if b := t.find(w.Digest, now); b != nil {
			b.clear(w.At)
		}
		return
	}
	t.getOrCreate(w.Digest, now).addBreak(w, t.limit())
}

func (b *body) clear(at time.Time) {
	b.breakIDs = nil
	b.clearedAt = at
}

func (b *body) addBreak(w Word, limit int) {
	if !w.At.After(b.clearedAt) || len(b.breakIDs) >= limit {
		return
	}
	if !slices.Contains(b.breakIDs, w.BreakID) {
		b.breakIDs = append(b.breakIDs, w.BreakID)
	}
}

// Clear forgets the breaks of a body that ran to its end.
func (t *Table) Clear(digest string) {
	if !t.Suspect(digest) {
		return
	}
	w := Word{Digest: digest, At: t.Clock.Now()}
	t.apply(w)
	t.spreadNote(w)
}

// Permit is the leave to run a body once at one target.
type Permit struct {
	run Run
	// asked says that an arbiter knows of the run; the table's mu guards it.
	reported bool
}

// enter lets a run of a body without breaks go and returns its permit, or the
// number of breaks.
func (t *Table) newPermit(run Run) (*Permit, int) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &Permit{run: run}
	if b := t.find(run.Digest, now); b != nil && len(b.breakIDs) > 0 {
		p.reported = true
		return p, len(b.breakIDs)
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

// leave ends p and reports whether an arbiter knows of it.
func (t *Table) releasePermit(p *Permit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active[p.run.Digest], p)
	if len(t.active[p.run.Digest]) == 0 {
		delete(t.active, p.run.Digest)
	}
	return p.reported
}

// declare tells the arbiter of the runs of a body that began here before it was
// suspected.
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

// Begin asks for leave to run a body at a target. A suspect may have to wait
// until another run of it has ended, at most until run.Until or the end of ctx.
func (t *Table) Begin(ctx context.Context, run Run) (*Permit, error) {
	p, breaks := t.newPermit(run)
	switch {
	case breaks == 0:
		return p, nil
	case breaks >= t.limit():
		return nil, ErrBlocked
	}
	return p, t.arbitrate(ctx, run)
}

// End gives p back, once; broke says that the connection to the target broke under
// the run. After a break it returns once the members know or tellTimeout has
// passed.
func (t *Table) End(ctx context.Context, p *Permit, broke bool) {
	asked := t.releasePermit(p)
	if broke {
		w := Word{BreakID: uuid.NewString(), Digest: p.run.Digest, Target: p.run.Target, At: t.Clock.Now()}
		t.apply(w)
		t.reportRuns(ctx, w.Digest)
		t.notifyMembers(context.WithoutCancel(ctx), w)
		t.spreadNote(w)
	}
	if asked {
		t.reportEnd(p.run)
	}
}
