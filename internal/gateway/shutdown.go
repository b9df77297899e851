package gateway

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// The decision in this file is for restarts under load: requests still reach a host that is
// shutting down, also on connections that it is about to close, and some may last longer
// than the process. Those are refused, since their callers can send them to another host.

// Durations of a shutdown.
const (
	// drainAcceptTime is how long a stopping host still accepts new connections: the
	// load balancer sends them until two readiness probes have failed.
	drainAcceptTime = 3 * time.Second
	// graceMargin is the part of the grace period reserved for the last responses and
	// for the exit of the process; finalResponseTime is the share for the responses.
	graceMargin       = 900 * time.Millisecond
	finalResponseTime = 400 * time.Millisecond
	// drainPollInterval is the time between two polls of the requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// Streams are served in the first part of a shutdown, 1/streamAcceptDivisor of it: the
	// probes have failed by its end, and most streams end in the rest.
	streamAcceptDivisor = 3
	// singleServeTime is the time that must be left for a request with a single response.
	singleServeTime = 1500 * time.Millisecond
)

// shutdown is the course of a graceful shutdown.
type shutdown struct {
	// startedAt is the time at which it started; the requests that still run at abortAt are
	// aborted.
	startedAt, abortAt time.Time
}

// newShutdown returns a shutdown that starts at now and has the given grace period.
func newShutdown(now time.Time, grace time.Duration) *shutdown {
	return &shutdown{startedAt: now, abortAt: now.Add(grace - graceMargin)}
}

// grace is the time that requests have from the start of the shutdown.
func (s *shutdown) grace() time.Duration { return s.abortAt.Sub(s.startedAt) }

// serves reports whether a request of the given kind and deadline is to be served that was
// read at now. One whose deadline comes first can't be cut by the shutdown.
func (s *shutdown) serves(kind catalog.Kind, deadline, now time.Time) bool {
	switch {
	case !deadline.After(s.abortAt):
		return true
	case kind == catalog.Stream:
		return now.Sub(s.startedAt) < s.grace()/streamAcceptDivisor
	default:
		return s.abortAt.Sub(now) >= singleServeTime
	}
}

// checkShutdown returns a refusal if the process may end before q does. Other hosts are
// ready, so that the caller need not wait.
func (h *Host) checkShutdown(q *request) error {
	s := h.shutdown.Load()
	if s == nil {
		return nil
	}
	now := h.Clock.Now()
	if s.serves(q.route.Kind, q.deadline, now) {
		return nil
	}
	return result.NotRun(result.Draining, "the host shuts down: it may end in %v, the request in %v", s.abortAt.Sub(now), q.deadline.Sub(now))
}

// drain performs a graceful shutdown.
func (h *Host) drain(ctx context.Context) {
	s := newShutdown(h.Clock.Now(), time.Duration(h.gracePeriod.Load()))
	h.shutdown.Store(s)
	h.Log.Info("draining", zap.Int64("Open", h.openRequests.Load()), zap.Duration("Grace", s.grace()))
	if h.joined.Load() {
		h.Exchange.Leave()
	}
	h.Batcher.Retire()
	h.sleepUntil(ctx, s.startedAt.Add(min(drainAcceptTime, s.grace())))
	h.callerServer.stop()
	h.pollUntil(ctx, s.abortAt, func() bool { return h.openRequests.Load() == 0 && !h.callerServer.busy() })
	h.abort(errShuttingDown)
	h.pollUntil(ctx, s.abortAt.Add(finalResponseTime), func() bool { return h.openRequests.Load() == 0 })
	h.pollUntil(ctx, s.abortAt, func() bool { return h.PeerServer.RunningCalls() == 0 })
	h.Log.Info("stopping", zap.Int64("Open", h.openRequests.Load()), zap.Int("PeerCalls", h.PeerServer.RunningCalls()), zap.Duration("Took", h.Clock.Since(s.startedAt)))
}

// sleepUntil waits until t.
func (h *Host) sleepUntil(ctx context.Context, t time.Time) {
	h.Clock.Sleep(ctx, t.Sub(h.Clock.Now()))
}

// pollUntil waits until done returns true, at most until limit.
func (h *Host) pollUntil(ctx context.Context, limit time.Time, done func() bool) {
	for !done() && h.Clock.Now().Before(limit) {
		h.Clock.Sleep(ctx, drainPollInterval)
	}
}
