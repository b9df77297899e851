package stage

import (
	"context"

	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// Free drops results that nobody will read any more.
func (b *Batcher) Free(results []Result) {
	b.do(func() { b.queueFree(results) })
}

// release notes results to be freed with the next call to their makers.
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

// flush frees what was released at a target. Its room counts as taken until the
// target has answered.
func (b *Batcher) flushFree(q *queue, s *targetState) {
	results := s.toFree
	s.toFree = nil
	if len(results) == 0 || b.ctx.Err() != nil {
		return
	}
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, freeTimeout)
		defer cancel()
		err := b.Pool.Free(ctx, results[0].Addr, handles)
		if err != nil {
			// Results that are not freed lapse by themselves.
			b.Log.Info("results not freed", zap.String("Target", results[0].Target), zap.Int("Results", len(handles)), journal.Error(err))
			return
		}
		b.do(func() {
			now := b.Clock.Now()
			for _, r := range results {
				s.resultFreed(r, now)
			}
			b.dispatch(q)
		})
	}()
}
