package stage

import (
	"context"
	"errors"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// start sends one call and takes its results.
func (f *Former) start(l *line, w *worker, t *catalog.Target, c *call) {
	now := f.Clock.Now()
	c.begun, c.expected = now, l.expected(len(c.parts))
	c.room = l.pool.RoomBytes - w.reserved - w.held
	w.calls++
	w.lastUsed = now
	for _, p := range c.parts {
		w.reserved += p.job.PieceBytes
		p.job.sent = true
		p.job.queued = now.Sub(p.job.arrived)
	}
	timeout := l.timeout(w, c.expected)
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		results, err := f.Pool.Call(ctx, t, c.pieces(now))
		f.do(func() { f.finish(l, w, t, c, results, err) })
	}()
}

// finish takes the results of a call.
func (f *Former) finish(l *line, w *worker, t *catalog.Target, c *call, results []PieceResult, err error) {
	now := f.Clock.Now()
	took := now.Sub(c.begun)
	w.calls--
	for _, p := range c.parts {
		w.reserved -= p.job.PieceBytes
		p.job.ran = took
	}
	if err == nil && len(results) != len(c.parts) {
		err = Error.New("%d results for %d pieces", len(results), len(c.parts))
	}
	if err != nil {
		f.callFailed(l, w, t, c, err, now)
	} else {
		w.succeeded(took, c.expected)
		f.logFaults(l, w, t, c, results, now)
		for i, p := range c.parts {
			f.take(l, w, t, c, p, results[i], now)
		}
	}
	f.dispatch(l)
}

// logFaults notes the pieces that a call left without a result.
func (f *Former) logFaults(l *line, w *worker, t *catalog.Target, c *call, results []PieceResult, now time.Time) {
	var counts [PieceError + 1]int
	for _, r := range results {
		counts[r.Fault]++
	}
	if counts[PieceDone] == len(results) {
		return
	}
	f.Log.Info("stage call without some results", zap.String("Service", l.service), zap.String("Target", t.ID), zap.Int("Pieces", len(results)),
		zap.Int("Late", counts[PieceLate]), zap.Int("InputGone", counts[PieceGone]), zap.Int("NoRoom", counts[PieceNoRoom]), zap.Int("Errors", counts[PieceError]),
		zap.Int64("RoomThought", c.room), zap.Int64("Others", w.others(now)), zap.Duration("Took", now.Sub(c.begun)), zap.String("FirstRequestID", c.parts[0].job.RequestID))
}

// callFailed puts the pieces of a failed call back.
func (f *Former) callFailed(l *line, w *worker, t *catalog.Target, c *call, err error, now time.Time) {
	rejected := errors.Is(err, ErrRejected)
	if rejected {
		w.rejected(now)
	} else {
		w.failed(now)
	}
	f.Log.Info("stage call failed", zap.String("Target", t.ID), zap.Int("Pieces", len(c.parts)), zap.Bool("Rejected", rejected),
		zap.Duration("Took", now.Sub(c.begun)), zap.String("FirstRequestID", c.parts[0].job.RequestID), journal.Error(err))
	for _, p := range c.parts {
		f.again(p, !rejected)
	}
}

// again queues a piece once more, or ends its job after too many failures.
func (f *Former) again(p part, counts bool) {
	j := p.job
	if j.ended {
		return
	}
	if counts {
		j.failures++
	}
	if j.failures > maxFailures*max(1, j.Pieces) {
		f.end(j, Failed)
		return
	}
	j.waiting = append(j.waiting, p.number)
}

// take takes the result of one piece.
func (f *Former) take(l *line, w *worker, t *catalog.Target, c *call, p part, r PieceResult, now time.Time) {
	j := p.job
	switch r.Fault {
	case PieceDone:
		c.room -= j.PieceBytes
		result := Result{Handle: r.Handle, Target: t.ID, Addr: t.Addr, Domain: t.Domain, Bytes: j.PieceBytes, Service: j.Service, Former: f.Self}
		if j.ended {
			f.release([]Result{result})
			return
		}
		l.busyMade++
		w.hold(r.Handle, j.PieceBytes, now.Add(l.life()))
		j.results[p.number] = result
		if j.missing--; j.missing == 0 {
			f.end(j, None)
		}
	case PieceLate:
		f.end(j, Late)
	case PieceGone:
		f.end(j, Gone)
	case PieceNoRoom:
		w.full(now, c, j.PieceBytes, l.pool.ResultLife)
		f.again(p, false)
	case PieceError:
		f.again(p, true)
	}
}
