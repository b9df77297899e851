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
type requestTracker struct {
	Clock *clock.Service

	mu       sync.Mutex
	closed   bool
	inFlight map[string]bool
	drained  chan struct{} // non-nil once closed; closed when nothing flies
}

// maxInFlight bounds the requests in flight and their parts.
const maxInFlight = 8192

// enter counts a request in, or refuses it with a *result.Error once the gate is
// closed or full. The returned function counts the request out; it may be
// called twice.
func (g *requestTracker) begin(requestID string) (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refusal *result.Error
	switch {
	case g.closed:
		refusal = result.NotRun(result.Draining, "the host is shutting down")
	case len(g.inFlight) >= maxInFlight:
		refusal = result.NotRun(result.TableFull, "%d requests are in flight", len(g.inFlight))
	default:
		return g.add(requestID), nil
	}
	refusal.RetryAfter = otherHostRetryAfter
	return nil, refusal
}

// elsewhereAfter is the time after which a refused caller may try another host.
const otherHostRetryAfter = time.Second

// extend counts a further part of a request in that is in flight already.
func (g *requestTracker) beginPart(partID string) (leave func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.add(partID)
}

// add counts id in; g.mu is held.
func (g *requestTracker) add(id string) (leave func()) {
	if g.inFlight == nil {
		g.inFlight = map[string]bool{}
	}
	g.inFlight[id] = true
	return func() { g.end(id) }
}

func (g *requestTracker) end(requestID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.inFlight[requestID] {
		return
	}
	delete(g.inFlight, requestID)
	if g.closed && len(g.inFlight) == 0 {
		close(g.drained)
	}
}

// close lets no request in from now on.
func (g *requestTracker) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.drained = make(chan struct{})
	if len(g.inFlight) == 0 {
		close(g.drained)
	}
}

// wait returns once a closed gate's requests have left, at most after timeout.
// It returns the IDs of the requests that are left.
func (g *requestTracker) wait(ctx context.Context, timeout time.Duration) []string {
	late, stop := g.Clock.After(timeout)
	defer stop()
	select {
	case <-g.drained:
	case <-late:
	case <-ctx.Done():
	}
	return g.ids()
}

// list returns the IDs of the requests in flight, sorted.
func (g *requestTracker) ids() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id := range g.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
