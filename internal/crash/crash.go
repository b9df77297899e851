// Package crash records which requests broke targets, by digest of the request
// body, so that one request breaks at most two targets whichever host its caller
// tries.
//
// A Table counts the targets that each body broke. A body that broke one is a
// suspect: it runs at one target at a time, and if possible not at the same time
// as another suspect at that target, so that a second break distinguishes the
// body that causes breaks from those that merely ran at the same time. A body that broke
// MaxTargets is blocked, that is, not run again; the breaks of a body that ran to
// completion are cleared. The host that sees a break spreads a note, for members that it
// can't reach, and notifies every member before it does anything else with the request.
// One host, picked by rendezvous hashing, arbitrates the runs of all suspects. A host that
// can't reach it asks the next ones, and decides on its own if it reaches none.
//
// That is for callers that ask for permission before each run. For those that can't
// wait for it, a Table also records the crashes of targets with all that may have caused
// each, a request or a part of its prompt; see suspectTable.
package crash

import (
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
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
	// unsaved holds the keys whose values in the archive are out of date, savedAt the times
	// at which this host saved others lately.
	unsaved map[string]bool
	savedAt map[string]time.Time
	// active holds the permits of this host's runs that began before their body
	// was a suspect, and so without an arbiter, by digest.
	active  map[string]map[*Permit]bool
	arbiter arbiter
}

// Register subscribes t to notes from peers and registers its RPC service on s.
func (t *Table) Register(s *rpc.Server) error {
	t.Exchange.OnNote(peer.CrashNote, t.handleNote)
	return s.RegisterName(rpcName, &Service{table: t})
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
