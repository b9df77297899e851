package stage

import "time"

// The estimates in this file are for load peaks. Calls fill up while pieces wait, so that
// the capacity of a pool in a peak is that of full calls, which is more than what was
// measured before the peak with calls of a few pieces.

const (
	// longPause is the remaining pause from which a target doesn't count towards the
	// capacity of its pool. Shorter ones follow a rejection or a lack of memory.
	longPause = 200 * time.Millisecond
	// heldWeight is the weight of the newest result in the mean time for which results
	// are held.
	heldWeight = 0.05
)

// capacity is what the targets of a queue can do together at one moment.
type capacity struct {
	// piece is the time that one piece in a full call takes of all targets together.
	piece time.Duration
	// byteTime is the time in nanoseconds that one byte of a result takes of the result
	// memory of all targets together; zero without a bound on that memory.
	byteTime float64
	// busy says until when the targets are busy.
	busy busyTargets
	// pace is the mean pace of the targets.
	pace float64
	// slots is the number of calls that the targets run concurrently.
	slots int
}

// capacity returns the present capacity of the queue's targets. Targets in a long pause
// count only if all are in one.
func (q *queue) capacity(now time.Time) capacity {
	c := q.capacityOf(now, longPause)
	if c.slots == 0 {
		c = q.capacityOf(now, maxFailPause+slowProbeInterval)
	}
	return c
}

// capacityOf is capacity without the targets that are paused for longer than maxPause.
func (q *queue) capacityOf(now time.Time, maxPause time.Duration) capacity {
	if q.pool == nil {
		return capacity{}
	}
	c := capacity{}
	n, speed := 0, 0.0
	for _, t := range q.targets {
		s := q.targetStates[t.ID]
		if s == nil {
			n, speed = n+1, speed+1
			c.busy.add(0)
			continue
		}
		if s.pausedUntil.Sub(now) > maxPause {
			continue
		}
		n, speed = n+1, speed+1/max(minPace, s.pace)
		if s.calls < max(1, q.pool.Slots) {
			c.busy.add(0)
		} else {
			c.busy.add(s.busyUntil.Sub(now))
		}
	}
	if n == 0 {
		return c
	}
	c.slots = n * max(1, q.pool.Slots)
	c.pace = float64(n) / speed
	full := float64(q.expected(q.pool.Batch)) * c.pace
	c.piece = time.Duration(full / float64(q.pool.Batch*c.slots))
	if q.pool.RoomBytes > 0 {
		held := q.meanHeld
		if held == 0 {
			held = time.Duration(full)
		}
		c.byteTime = (full + float64(held)) / (float64(q.pool.RoomBytes) * float64(n))
	}
	return c
}

// minPace is the lowest pace with which a target counts, since a pace of zero would make
// its capacity infinite.
const minPace = 0.1

// cost returns the time that pieces take of all targets together: that of their calls
// or that of the memory for their results, whichever is scarcer.
func (c capacity) cost(pieces int, pieceBytes int64) time.Duration {
	one := max(c.piece, time.Duration(float64(pieceBytes)*c.byteTime))
	return time.Duration(pieces) * one
}

// callTimeOf returns the expected time of a call that takes a target's part of the given
// number of waiting pieces, and at least those of one job.
func (q *queue) callTimeOf(c capacity, waiting, own int) time.Duration {
	share := min(q.pool.Batch, max(1, own, waiting/max(1, c.slots)))
	return time.Duration(c.pace * float64(q.expected(share)))
}

// measureHeld updates the mean time for which results are held with a result that is
// freed now.
func (q *queue) measureHeld(s *targetState, r Result, now time.Time) {
	held, ok := s.results[r.Handle]
	if !ok {
		return
	}
	sample := now.Sub(held.since)
	if q.meanHeld == 0 {
		q.meanHeld = sample
	}
	q.meanHeld += time.Duration(heldWeight * float64(sample-q.meanHeld))
}

// workTime returns the time that the waiting pieces of j take of all targets together.
func (q *queue) workTime(j *job) time.Duration {
	if q.promising {
		return q.atOrder.cost(len(j.waiting), j.PieceBytes)
	}
	return time.Duration(len(j.waiting)) * q.perPiece()
}
