package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/result"
)

// gate counts the requests in flight and lets none in once it is closed.
type gate struct {
	Clock *clock.Service

	mu     sync.Mutex
	closed bool
	flying map[string]bool
	empty  chan struct{} // non-nil once closed; closed when nothing flies
}

// maxInFlight bounds the requests in flight and their parts.
const maxInFlight = 8192

// enter counts a request in, or refuses it with a *result.Error once the gate is
// closed or full. The returned function counts the request out; it may be
// called twice.
func (g *gate) enter(requestID string) (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refusal *result.Error
	switch {
	case g.closed:
		refusal = result.NotRun(result.Draining, "the host is shutting down")
	case len(g.flying) >= maxInFlight:
		refusal = result.NotRun(result.TableFull, "%d requests are in flight", len(g.flying))
	default:
		return g.add(requestID), nil
	}
	refusal.RetryAfter = elsewhereAfter
	return nil, refusal
}

// elsewhereAfter is the time after which a refused caller may try another host.
const elsewhereAfter = time.Second

// extend counts a further part of a request in that is in flight already.
func (g *gate) extend(partID string) (leave func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.add(partID)
}

// add counts id in; g.mu is held.
func (g *gate) add(id string) (leave func()) {
	if g.flying == nil {
		g.flying = map[string]bool{}
	}
	g.flying[id] = true
	return func() { g.leave(id) }
}

func (g *gate) leave(requestID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.flying[requestID] {
		return
	}
	delete(g.flying, requestID)
	if g.closed && len(g.flying) == 0 {
		close(g.empty)
	}
}

// close lets no request in from now on.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.empty = make(chan struct{})
	if len(g.flying) == 0 {
		close(g.empty)
	}
}

// wait returns once a closed gate's requests have left, at most after timeout.
// It returns the IDs of the requests that are left.
func (g *gate) wait(ctx context.Context, timeout time.Duration) []string {
	late, stop := g.Clock.After(timeout)
	defer stop()
	select {
	case <-g.empty:
	case <-late:
	case <-ctx.Done():
	}
	return g.list()
}

// list returns the IDs of the requests in flight, sorted.
func (g *gate) list() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id := range g.flying {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
