package stage

import (
	"context"
	"errors"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// startCall sends c to t and handles its results in the control goroutine.
func (b *Batcher) startCall(q *queue, s *targetState, t *catalog.Target, c *call) {
	now := b.Clock.Now()
	c.startedAt, c.expected = now, q.expected(len(c.parts))
	c.freeBytes = c.pool.RoomBytes - s.reservedBytes - s.heldBytes
	s.calls++
	s.lastUsed = now
	s.busyUntil = now.Add(time.Duration(s.pace * float64(c.expected)))
	for _, p := range c.parts {
		s.reservedBytes += p.job.PieceBytes
		p.job.sent++
		p.job.queued = now.Sub(p.job.arrived)
	}
	b.Quotas.Take(t)
	b.Backpressure.LogSend(t, c.parts[0].job.RequestID)
	timeout := q.timeout(s, c.expected)
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, timeout)
		defer cancel()
		reply, err := b.Pool.Call(ctx, t, c.pieces(now), func() error { return b.Catalog().CheckSend(t) })
		if !errors.Is(err, catalog.ErrEvacuated) {
			b.Backpressure.Observe(t, now, reply.Signal)
		}
		b.do(func() { b.finishCall(q, s, t, c, reply.Results, err) })
	}()
}

// finishCall handles the end of a call.
func (b *Batcher) finishCall(q *queue, s *targetState, t *catalog.Target, c *call, results []PieceResult, err error) {
	now := b.Clock.Now()
	took := now.Sub(c.startedAt)
	s.calls--
	for _, p := range c.parts {
		s.reservedBytes -= p.job.PieceBytes
		p.job.ran = took
	}
	if errors.Is(err, catalog.ErrEvacuated) {
		b.callStopped(t, c)
		b.dispatch(q)
		return
	}
	if err == nil && len(results) != len(c.parts) {
		err = Error.New("target returned %d results for %d pieces", len(results), len(c.parts))
	}
	if err != nil {
		b.callFailed(q, s, t, c, err, now)
	} else {
		s.succeeded(took, c.expected)
		b.logFaults(q, s, t, c, results, now)
		for i, p := range c.parts {
			b.recordResult(q, s, t, c, p, results[i], now)
		}
	}
	b.dispatch(q)
}

// logFaults logs a call that left pieces without a result.
func (b *Batcher) logFaults(q *queue, s *targetState, t *catalog.Target, c *call, results []PieceResult, now time.Time) {
	var counts [PieceError + 1]int
	for _, r := range results {
		counts[r.Fault]++
	}
	if counts[PieceDone] == len(results) {
		return
	}
	b.Log.Info("stage call without some results", zap.String("Service", q.service), zap.String("Target", t.ID), zap.Int("Pieces", len(results)),
		zap.Int("Late", counts[PieceLate]), zap.Int("InputGone", counts[PieceInputGone]), zap.Int("NoRoom", counts[PieceNoMemory]), zap.Int("Errors", counts[PieceError]),
		zap.Int64("RoomThought", c.freeBytes), zap.Int64("Others", s.foreignBytesAt(now)), zap.Duration("Took", now.Sub(c.startedAt)), zap.String("FirstRequestID", c.parts[0].job.RequestID))
}

// callStopped requeues the pieces of a call that was not sent, since the failure domain
// of t has been evacuated. It says nothing of the target.
func (b *Batcher) callStopped(t *catalog.Target, c *call) {
	if b.Stopped != nil {
		b.Stopped.Inc(1)
	}
	b.Log.Info("send stopped by an evacuation", zap.String("Target", t.ID), zap.String("Domain", t.Domain), zap.Int("Pieces", len(c.parts)),
		zap.String("FirstRequestID", c.parts[0].job.RequestID))
	for _, p := range c.parts {
		p.job.sent--
		b.requeue(p, false)
	}
}

// callFailed pauses the target of a failed call and requeues the call's pieces.
func (b *Batcher) callFailed(q *queue, s *targetState, t *catalog.Target, c *call, err error, now time.Time) {
	rejected := errors.Is(err, ErrRejected)
	if rejected {
		s.rejected(now)
	} else {
		s.failed(now)
	}
	b.Log.Info("stage call failed", zap.String("Target", t.ID), zap.Int("Pieces", len(c.parts)), zap.Bool("Rejected", rejected),
		zap.Duration("Took", now.Sub(c.startedAt)), zap.String("FirstRequestID", c.parts[0].job.RequestID), journal.Error(err))
	for _, p := range c.parts {
		b.requeue(p, !rejected)
	}
}

// requeue queues a piece again, or ends its job after too many failures. counts
// says whether this attempt counts as a failure.
func (b *Batcher) requeue(p part, counts bool) {
	j := p.job
	if j.ended {
		return
	}
	if counts {
		j.failures++
	}
	if j.failures > j.maxFailures() {
		b.endJob(j, Failed)
		return
	}
	j.waiting = append(j.waiting, p.number)
}

// recordResult records the result of one piece.
func (b *Batcher) recordResult(q *queue, s *targetState, t *catalog.Target, c *call, p part, r PieceResult, now time.Time) {
	j := p.job
	switch r.Fault {
	case PieceDone:
		c.freeBytes -= j.PieceBytes
		result := Result{Handle: r.Handle, Target: t.ID, Addr: t.Addr, Domain: t.Domain, Bytes: j.PieceBytes, Service: j.Service, Former: b.Self}
		if j.ended {
			b.queueFree([]Result{result})
			return
		}
		q.busyPieces++
		s.addResult(r.Handle, heldResult{bytes: j.PieceBytes, since: now, expires: now.Add(c.pool.ResultLife)})
		j.results[p.number] = result
		if j.missing--; j.missing == 0 {
			b.endJob(j, None)
		}
	case PieceLate:
		b.endJob(j, Late)
	case PieceInputGone:
		b.endJob(j, Gone)
	case PieceNoMemory:
		s.memoryFull(now, c, j.PieceBytes)
		b.requeue(p, false)
	case PieceError:
		b.requeue(p, true)
	}
}
