package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/result"
)

// requestTracker tracks the requests in flight and refuses new ones once it is
// closed or full.
type requestTracker struct {
	Clock *clock.Service

	mu       sync.Mutex
	closed   bool
	inFlight map[string]bool
	drained  chan struct{} // non-nil once closed is set; closed when no request is in flight
}

// maxInFlight bounds the number of requests and request parts in flight.
const maxInFlight = 8192

// begin adds a request, or refuses it with a *result.Error if the tracker is
// closed or full. The returned function removes the request; it may be called
// twice.
func (t *requestTracker) begin(requestID string) (end func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var refusal *result.Error
	switch {
	case t.closed:
		refusal = result.NotRun(result.Draining, "the host is shutting down")
	case len(t.inFlight) >= maxInFlight:
		refusal = result.NotRun(result.TableFull, "%d requests are in flight", len(t.inFlight))
	default:
		return t.add(requestID), nil
	}
	refusal.RetryAfter = otherHostRetryAfter
	return nil, refusal
}

// otherHostRetryAfter is the Retry-After time of a refused request: the caller
// may then try another host.
const otherHostRetryAfter = time.Second

// beginPart adds a part of a request that is already in flight.
func (t *requestTracker) beginPart(partID string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.add(partID)
}

// add adds id; the caller holds t.mu.
func (t *requestTracker) add(id string) (end func()) {
	if t.inFlight == nil {
		t.inFlight = map[string]bool{}
	}
	t.inFlight[id] = true
	return func() { t.end(id) }
}

func (t *requestTracker) end(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inFlight[requestID] {
		return
	}
	delete(t.inFlight, requestID)
	if t.closed && len(t.inFlight) == 0 {
		close(t.drained)
	}
}

// close makes the tracker refuse requests from now on.
func (t *requestTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	t.drained = make(chan struct{})
	if len(t.inFlight) == 0 {
		close(t.drained)
	}
}

// wait waits, at most for timeout, until no request of a closed tracker is in
// flight. It returns the IDs of the requests that still are.
func (t *requestTracker) wait(ctx context.Context, timeout time.Duration) []string {
	timedOut, stop := t.Clock.After(timeout)
	defer stop()
	select {
	case <-t.drained:
	case <-timedOut:
	case <-ctx.Done():
	}
	return t.ids()
}

// ids returns the sorted IDs of the requests in flight.
func (t *requestTracker) ids() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id := range t.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
