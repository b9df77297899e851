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
func (f *Batcher) startCall(l *queue, w *targetState, t *catalog.Target, c *call) {
	now := f.Clock.Now()
	c.startedAt, c.expected = now, l.expected(len(c.parts))
	c.freeBytes = l.pool.RoomBytes - w.reservedBytes - w.heldBytes
	w.calls++
	w.lastUsed = now
	for _, p := range c.parts {
		w.reservedBytes += p.job.PieceBytes
		p.job.sent = true
		p.job.queued = now.Sub(p.job.arrived)
	}
	timeout := l.timeout(w, c.expected)
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		results, err := f.Pool.Call(ctx, t, c.pieces(now))
		f.do(func() { f.finishCall(l, w, t, c, results, err) })
	}()
}

// finish takes the results of a call.
func (f *Batcher) finishCall(l *queue, w *targetState, t *catalog.Target, c *call, results []PieceResult, err error) {
	now := f.Clock.Now()
	took := now.Sub(c.startedAt)
	w.calls--
	for _, p := range c.parts {
		w.reservedBytes -= p.job.PieceBytes
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
			f.recordResult(l, w, t, c, p, results[i], now)
		}
	}
	f.dispatch(l)
}

// logFaults notes the pieces that a call left without a result.
func (f *Batcher) logFaults(l *queue, w *targetState, t *catalog.Target, c *call, results []PieceResult, now time.Time) {
	var counts [PieceError + 1]int
	for _, r := range results {
		counts[r.Fault]++
	}
	if counts[PieceDone] == len(results) {
		return
	}
	f.Log.Info("stage call without some results", zap.String("Service", l.service), zap.String("Target", t.ID), zap.Int("Pieces", len(results)),
		zap.Int("Late", counts[PieceLate]), zap.Int("InputGone", counts[PieceInputGone]), zap.Int("NoRoom", counts[PieceNoMemory]), zap.Int("Errors", counts[PieceError]),
		zap.Int64("RoomThought", c.freeBytes), zap.Int64("Others", w.foreignBytesAt(now)), zap.Duration("Took", now.Sub(c.startedAt)), zap.String("FirstRequestID", c.parts[0].job.RequestID))
}

// callFailed puts the pieces of a failed call back.
func (f *Batcher) callFailed(l *queue, w *targetState, t *catalog.Target, c *call, err error, now time.Time) {
	rejected := errors.Is(err, ErrRejected)
	if rejected {
		w.rejected(now)
	} else {
		w.failed(now)
	}
	f.Log.Info("stage call failed", zap.String("Target", t.ID), zap.Int("Pieces", len(c.parts)), zap.Bool("Rejected", rejected),
		zap.Duration("Took", now.Sub(c.startedAt)), zap.String("FirstRequestID", c.parts[0].job.RequestID), journal.Error(err))
	for _, p := range c.parts {
		f.requeue(p, !rejected)
	}
}

// again queues a piece once more, or ends its job after too many failures.
func (f *Batcher) requeue(p part, counts bool) {
	j := p.job
	if j.ended {
		return
	}
	if counts {
		j.failures++
	}
	if j.failures > maxFailures*max(1, j.Pieces) {
		f.endJob(j, Failed)
		return
	}
	j.waiting = append(j.waiting, p.number)
}

// take takes the result of one piece.
func (f *Batcher) recordResult(l *queue, w *targetState, t *catalog.Target, c *call, p part, r PieceResult, now time.Time) {
	j := p.job
	switch r.Fault {
	case PieceDone:
		c.freeBytes -= j.PieceBytes
		result := Result{Handle: r.Handle, Target: t.ID, Addr: t.Addr, Domain: t.Domain, Bytes: j.PieceBytes, Service: j.Service, Former: f.Self}
		if j.ended {
			f.queueFree([]Result{result})
			return
		}
		l.busyPieces++
		w.addResult(r.Handle, j.PieceBytes, now.Add(l.resultLifetime()))
		j.results[p.number] = result
		if j.missing--; j.missing == 0 {
			f.endJob(j, None)
		}
	case PieceLate:
		f.endJob(j, Late)
	case PieceInputGone:
		f.endJob(j, Gone)
	case PieceNoMemory:
		w.memoryFull(now, c, j.PieceBytes, l.pool.ResultLife)
		f.requeue(p, false)
	case PieceError:
		f.requeue(p, true)
	}
}
