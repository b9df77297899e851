package stage

import (
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// The decisions of this file answer pools whose targets differ in speed, lie in other
// failure domains than the inputs, and are short of memory for results.

// chooseTarget returns the best target with a free slot for j, or nil.
func (q *queue) chooseTarget(j *job, now time.Time) (*targetState, *catalog.Target) {
	var best *targetState
	var bestTarget *catalog.Target
	fastest := q.fastestPace(now)
	local := q.shouldWaitForDomain(j, now)
	for _, t := range q.targets {
		s := q.targetState(t.ID)
		if !q.mayCall(s, t, now) || !j.mayRunIn(t.Domain) || local && t.Domain != j.Domain {
			continue
		}
		if s.pace > slowFactor*fastest && now.Sub(s.lastUsed) < slowProbeInterval {
			continue
		}
		if q.piecesForNewCall(j, s, now) == 0 {
			continue
		}
		if best == nil || betterTarget(s, t, best, bestTarget, j.Domain) {
			best, bestTarget = s, t
		}
	}
	return best, bestTarget
}

// betterTarget reports whether t is a better choice than bestTarget: a target in
// domain comes first, then the faster one.
func betterTarget(s *targetState, t *catalog.Target, best *targetState, bestTarget *catalog.Target, domain string) bool {
	if (t.Domain == domain) != (bestTarget.Domain == domain) {
		return t.Domain == domain
	}
	return s.pace < best.pace
}

// shouldWaitForDomain reports whether j should wait for a target of its own
// domain: while it can still be on time there, or if it can't be on time anyway.
func (q *queue) shouldWaitForDomain(j *job, now time.Time) bool {
	if j.Domain == "" || j.MoveBytes < largeMoveBytes || j.critical || !j.mayRunIn(j.Domain) {
		return false
	}
	inDomain := 0
	for _, t := range q.targets {
		if t.Domain == j.Domain && !q.targetState(t.ID).pausedUntil.After(now) {
			inDomain++
		}
	}
	if inDomain == 0 {
		return false
	}
	return j.deferred || !tooLate(j, q.callTimeAtOrder+q.callTimeAtOrder/time.Duration(inDomain), now)
}

// mayRunIn reports whether the restriction of j to failure domains allows domain.
func (j *job) mayRunIn(domain string) bool { return catalog.DomainAllowed(j.Domains, domain) }

// mayCall reports whether a call may go to t now.
func (q *queue) mayCall(s *targetState, t *catalog.Target, now time.Time) bool {
	return s.calls < max(1, q.pool.Slots) && !s.pausedUntil.After(now) && q.signals.PauseLeft(t) == 0 && q.quotas.Wait(t) == 0
}

// mayCallAny reports whether a call may go to any target now.
func (q *queue) mayCallAny(now time.Time) bool {
	for _, t := range q.targets {
		if q.mayCall(q.targetState(t.ID), t, now) {
			return true
		}
	}
	return false
}

// fastestPace returns the lowest pace among the targets that are not paused.
func (q *queue) fastestPace(now time.Time) float64 {
	least := 0.0
	for _, t := range q.targets {
		s := q.targetState(t.ID)
		if s.pausedUntil.After(now) {
			continue
		}
		if least == 0 || s.pace < least {
			least = s.pace
		}
	}
	return least
}

// piecesForNewCall returns how many waiting pieces of j a call without other
// pieces may take at the target of s.
func (q *queue) piecesForNewCall(j *job, s *targetState, now time.Time) int {
	return q.fittingPieces(j, s, 0, 0, now)
}

// fittingPieces returns how many waiting pieces of j fit in a call at the target
// of s that already has the given number of pieces, with results of the given
// number of bytes. A job is split only if it is larger than a call, or than the
// result memory of an empty target.
func (q *queue) fittingPieces(j *job, s *targetState, taken int, bytes int64, now time.Time) int {
	n := min(len(j.waiting), q.pool.Batch-taken)
	if j.PieceBytes > 0 && q.pool.RoomBytes > 0 {
		free := q.pool.RoomBytes - s.usedBytes(now) - bytes
		n = min(n, int(max(0, free)/j.PieceBytes))
	}
	if n == len(j.waiting) {
		return n
	}
	if taken == 0 && (len(j.waiting) > q.pool.Batch || s.usedBytes(now) == 0) {
		return n
	}
	return 0
}

// formCall forms a call at t from the pieces of j and of other jobs that fit.
// Among the others, jobs that need not move large inputs to t come first. A job on its
// last attempt shares no call: its former ones may have failed because of a job beside
// it, or that one because of it.
func (q *queue) formCall(j *job, s *targetState, t *catalog.Target, now time.Time) *call {
	c := &call{pool: q.pool}
	bytes := c.add(j, q.piecesForNewCall(j, s, now))
	if j.onLastAttempt() && len(c.parts) > 0 {
		return c
	}
	for _, wantNear := range []bool{true, false} {
		for _, other := range q.jobs {
			if len(c.parts) >= q.pool.Batch {
				break
			}
			near := other.Domain == t.Domain || other.Domain == "" || other.MoveBytes < largeMoveBytes
			if other == j || len(other.waiting) == 0 || !other.mayRunIn(t.Domain) || other.onLastAttempt() || near != wantNear || !wantNear && q.shouldWaitForDomain(other, now) {
				continue
			}
			bytes += c.add(other, q.fittingPieces(other, s, len(c.parts), bytes, now))
		}
	}
	if len(c.parts) == 0 {
		return nil
	}
	return c
}

// call is one call to a target.
type call struct {
	// pool is the pool for which the call was formed. The queue may have lost it, or have
	// another one, when the call ends.
	pool      *catalog.Pool
	parts     []part
	startedAt time.Time
	expected  time.Duration
	// freeBytes is the memory that the results of this batcher left free at the
	// target when the call started, less the results that the call produced.
	freeBytes int64
}

// part is one piece of a job in a call.
type part struct {
	job    *job
	number int
}

// add moves n waiting pieces of j into c and returns the size of their results.
func (c *call) add(j *job, n int) int64 {
	for _, number := range j.waiting[:n] {
		c.parts = append(c.parts, part{j, number})
	}
	j.waiting = j.waiting[n:]
	return int64(n) * j.PieceBytes
}

// pieces returns the pieces of c as they are sent to the target.
func (c *call) pieces(now time.Time) []Piece {
	out := make([]Piece, len(c.parts))
	for i, p := range c.parts {
		out[i] = Piece{
			RequestID: p.job.RequestID,
			Stage:     p.job.Stage,
			Number:    p.number,
			Key:       p.job.Key,
			Inputs:    p.job.Inputs,
			Left:      p.job.deadline.Sub(now),
		}
	}
	return out
}
