package stage

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// Free frees results that are no longer needed.
func (b *Batcher) Free(results []Result) {
	b.do(func() { b.queueFree(results) })
}

// queueFree queues results to be freed with the next call to the targets that
// produced them.
func (b *Batcher) queueFree(results []Result) {
	for _, r := range results {
		q := b.queue(r.Service)
		s := q.targetState(r.Target)
		if len(s.toFree) == 0 {
			b.Clock.AfterFunc(freeDelay, func() { b.do(func() { b.flushFree(q, s) }) })
		}
		s.toFree = append(s.toFree, r)
	}
}

// deferFree frees the results queued for a target after wait, unless they expire on
// their own before.
func (b *Batcher) deferFree(q *queue, s *targetState, wait time.Duration) {
	if wait > q.resultLifetime() || len(s.toFree) > maxDeferred {
		b.Log.Info("results are left to expire", zap.String("Target", s.toFree[0].Target), zap.Int("Results", len(s.toFree)), zap.Duration("Wait", wait))
		s.toFree = nil
		return
	}
	b.Clock.AfterFunc(wait, func() { b.do(func() { b.flushFree(q, s) }) })
}

// flushFree frees the results queued for a target. Their memory counts as used
// until the target has answered. At a target that asks for a pause or limits the
// number of requests the call has to wait, like any other.
func (b *Batcher) flushFree(q *queue, s *targetState) {
	if len(s.toFree) == 0 || b.ctx.Err() != nil {
		return
	}
	if t := catalog.FindTarget(q.targets, s.toFree[0].Target); t != nil {
		if wait := max(b.Backpressure.PauseLeft(t), b.Quotas.Wait(t)); wait > 0 {
			b.deferFree(q, s, wait)
			return
		}
		b.Quotas.Take(t)
	}
	results := s.toFree
	s.toFree = nil
	permit := func() error { return b.checkFree(results[0]) }
	if permit() != nil {
		b.Log.Info("results are left to expire", zap.String("Target", results[0].Target), zap.Int("Results", len(results)), zap.String("Evacuated", results[0].Domain))
		return
	}
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, freeTimeout)
		defer cancel()
		err := b.Pool.Free(ctx, results[0].Addr, handles, permit)
		if err != nil {
			// Results that are not freed expire on their own.
			b.Log.Info("failed to free results", zap.String("Target", results[0].Target), zap.Int("Results", len(handles)), journal.Error(err))
			return
		}
		b.do(func() {
			now := b.Clock.Now()
			for _, r := range results {
				q.measureHeld(s, r, now)
				s.resultFreed(r, now)
			}
			b.dispatch(q)
		})
	}()
}

// checkFree returns an error if nothing may be sent to the target of r.
func (b *Batcher) checkFree(r Result) error {
	return b.Catalog().CheckSend(&catalog.Target{ID: r.Target, Domain: r.Domain})
}
