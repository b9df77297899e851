// Package target keeps a host's state of the targets: which exist, which are
// leaving, and how to run an attempt at one of them.
//
// A Registry merges three sources: the declaration, the platform's host list and
// notes from peers. A target that the host list reported as leaving gets no new
// work for the rest of that incarnation, even if an older report arrives later; a
// target that is declared as leaving gets none until a newer declaration says
// otherwise. A Client runs attempts.
package target

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxLeaving bounds the incarnations that are known to be leaving; beyond it the
// one that was reported longest ago is dropped.
const maxLeaving = 16384

// maxPause is the time without a round of Run after which a host concludes that
// it was paused.
const maxPause = 2*listPeriod + listTimeout

// Exchange is the part of peer.Exchange that a Registry needs.
type Exchange interface {
	Members() *peer.Members
	Spread(peer.Note)
	OnNote(peer.NoteKind, func(peer.Note))
}

var _ Exchange = (*peer.Exchange)(nil)

// Registry holds the targets that may get new work. Goroutines that serve traffic
// read an immutable set. Exported fields must be set, and Register called, before
// Run; a Registry without a HostList uses the declaration alone and needs
// neither.
type Registry struct {
	HostList platform.HostList
	Clock    *clock.Service
	Exchange Exchange
	Peers    *peer.Caller
	// Self is the name of this host.
	Self string

	// lastList is the host list that was merged last. Only Run uses it.
	lastList []platform.HostEntry

	set atomic.Pointer[Set]
	// lastSync is the time at which Run last had current reports on the targets.
	lastSync atomic.Pointer[time.Time]

	// mu guards the fields below, from which set is built.
	mu   sync.Mutex
	view *declaration.View
	// synced is set once the host list was read, a peer has answered, or
	// syncTimeout has passed.
	synced bool
	// incarnations has the incarnation of each target by the newest report.
	incarnations map[string]string
	leaving      *simplelru.LRU[Life, time.Time]
}

// Life is one incarnation of a target.
type Life struct {
	Target      string
	Incarnation string
}

// Set is an immutable set of usable targets.
type Set struct {
	byName      map[string]*declaration.Target
	byPoolModel map[poolModel][]*declaration.Target
}

// poolModel is the pool and model that an attempt asks for; an empty model means
// any model.
type poolModel struct{ pool, model string }

// Publish replaces the declaration.
func (r *Registry) Publish(v *declaration.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = v
	r.rebuild()
}

// rebuild builds and publishes the set. The caller holds r.mu.
func (r *Registry) rebuild() {
	if r.view == nil || (r.HostList != nil && !r.synced) {
		return
	}
	s := &Set{byName: map[string]*declaration.Target{}, byPoolModel: map[poolModel][]*declaration.Target{}}
	for name, t := range r.view.Targets {
		if t.Leaving || r.isLeaving(Life{name, r.incarnations[name]}) {
			continue
		}
		s.add(t)
	}
	for _, targets := range s.byPoolModel {
		slices.SortFunc(targets, func(a, b *declaration.Target) int { return compare(a.Name, b.Name) })
	}
	r.set.Store(s)
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *Set) add(t *declaration.Target) {
	s.byName[t.Name] = t
	all := poolModel{pool: t.Pool}
	s.byPoolModel[all] = append(s.byPoolModel[all], t)
	for _, m := range t.Models {
		one := poolModel{pool: t.Pool, model: m}
		s.byPoolModel[one] = append(s.byPoolModel[one], t)
	}
}

// isLeaving reports whether l is known to be leaving. The caller holds r.mu.
func (r *Registry) isLeaving(l Life) bool { return r.leaving != nil && r.leaving.Contains(l) }

// Ready reports whether the usable targets are known: a starting host waits for
// its first report of which targets are leaving.
func (r *Registry) Ready() bool { return r.set.Load() != nil }

// Lookup returns the usable target named name, or nil.
func (r *Registry) Lookup(name string) *declaration.Target {
	if s := r.set.Load(); s != nil {
		return s.byName[name]
	}
	return nil
}

// MayStart reports whether a new run may be sent now to the target named name.
// After a pause of the host itself the set may be stale: MayStart then waits for
// the next report on the targets, at most until ctx ends.
func (r *Registry) MayStart(ctx context.Context, name string) bool {
	for r.Clock != nil && r.paused(r.Clock.Now()) {
		if r.Clock.Sleep(ctx, pausePoll) != nil {
			return false
		}
	}
	return r.Lookup(name) != nil
}

// pausePoll is the interval at which MayStart polls for a report on the targets
// after a pause.
const pausePoll = 10 * time.Millisecond

// Usable returns the targets of pool that may get new work and, unless model is
// empty, serve it, sorted by name. The caller must not change the slice or the
// targets.
func (r *Registry) Usable(pool, model string) []*declaration.Target {
	if s := r.set.Load(); s != nil {
		return s.byPoolModel[poolModel{pool, model}]
	}
	return nil
}
