package stage

import (
	"context"

	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// Free drops results that nobody will read any more.
func (f *Former) Free(results []Result) {
	f.do(func() { f.release(results) })
}

// release notes results to be freed with the next call to their makers.
func (f *Former) release(results []Result) {
	for _, r := range results {
		l := f.line(r.Service)
		w := l.worker(r.Target)
		if len(w.free) == 0 {
			f.Clock.AfterFunc(freeDelay, func() { f.do(func() { f.flush(l, w) }) })
		}
		w.free = append(w.free, r)
	}
}

// flush frees what was released at a target. Its room counts as taken until the
// target has answered.
func (f *Former) flush(l *line, w *worker) {
	results := w.free
	w.free = nil
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
				w.freed(r, now)
			}
			f.dispatch(l)
		})
	}()
}
