package stage

import (
	"context"

	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// Free drops results that nobody will read any more.
func (f *Batcher) Free(results []Result) {
	f.do(func() { f.queueFree(results) })
}

// release notes results to be freed with the next call to their makers.
func (f *Batcher) queueFree(results []Result) {
	for _, r := range results {
		l := f.queue(r.Service)
		w := l.targetState(r.Target)
		if len(w.toFree) == 0 {
			f.Clock.AfterFunc(freeDelay, func() { f.do(func() { f.flushFree(l, w) }) })
		}
		w.toFree = append(w.toFree, r)
	}
}

// flush frees what was released at a target. Its room counts as taken until the
// target has answered.
func (f *Batcher) flushFree(l *queue, w *targetState) {
	results := w.toFree
	w.toFree = nil
	if len(results) == 0 || f.ctx.Err() != nil {
		return
	}
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.Handle
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, freeTimeout)
		defer cancel()
		err := f.Pool.Free(ctx, results[0].Addr, handles)
		if err != nil {
			// Results that are not freed lapse by themselves.
			f.Log.Info("results not freed", zap.String("Target", results[0].Target), zap.Int("Results", len(handles)), journal.Error(err))
			return
		}
		f.do(func() {
			now := f.Clock.Now()
			for _, r := range results {
				w.resultFreed(r, now)
			}
			f.dispatch(l)
		})
	}()
}
