package queue

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// This file chooses the ticket that gets the next free slot, and the target.

// schedule grants free slots: first to urgent long work, then to short work, then
// to other long work. The caller holds sched.mu.
func (sched *scheduler) schedule(now time.Time) {
	updateSpeedRatios(sched.targets)
	sched.longQueue = sched.grantFrom(sched.longQueue, now, true)
	sched.shortQueue = sched.grantFrom(sched.shortQueue, now, false)
	sched.longQueue = sched.grantFrom(sched.longQueue, now, false)
}

// urgent reports whether t, which is long, has little time left.
func (sched *scheduler) urgent(t *ticket, now time.Time) bool {
	return t.request.Deadline.Sub(now) < urgentFactor*sched.minRunTime(t)
}

// grantFrom grants slots to the tickets of a queue, or to the urgent ones alone,
// and returns those that stay in the queue.
func (sched *scheduler) grantFrom(queue []*ticket, now time.Time, urgent bool) []*ticket {
	rest := queue[:0]
	var busy []busySlot
	for i, t := range queue {
		if !sched.anyCapacity() {
			rest = append(rest, queue[i:]...)
			break
		}
		if i == 0 && !t.long {
			busy = sched.busySlots(now)
		}
		if (urgent && !sched.urgent(t, now)) || !sched.grantOrRefuse(t, &busy, now) {
			rest = append(rest, t)
		}
	}
	for i := len(rest); i < len(queue); i++ {
		queue[i] = nil
	}
	return rest
}

func (sched *scheduler) anyCapacity() bool {
	for _, s := range sched.targets {
		if s.hasCapacity() {
			return true
		}
	}
	return false
}

// grantOrRefuse grants t a slot or refuses it, and reports whether it did either.
// If t waits for one of the busy slots, that slot is removed from busy.
func (sched *scheduler) grantOrRefuse(t *ticket, busy *[]busySlot, now time.Time) bool {
	if t.request.Deadline.Sub(now) < sched.minRunTime(t) {
		sched.deliver(t, decision{code: result.Overloaded, message: "no slot became free in time"}, now)
		return true
	}
	if t.long && !sched.mayRunLong(t, now) {
		return false
	}
	s := sched.chooseTarget(t, now)
	if s == nil {
		return false
	}
	if i := sched.slotWorthWaiting(t, s, *busy, now); i >= 0 {
		*busy = append((*busy)[:i], (*busy)[i+1:]...)
		return false
	}
	sched.addLease(s, t, now)
	sched.deliver(t, decision{target: s.target.Name, expected: sched.expectedTime(s, t), long: t.long}, now)
	return true
}

// mayRunLong reports whether t, which is long, may take one more slot.
func (sched *scheduler) mayRunLong(t *ticket, now time.Time) bool {
	slots, held := 0, 0
	for _, s := range sched.targets {
		slots += s.slots
		for _, l := range s.leases {
			if l.long {
				held++
			}
		}
	}
	share := sched.longShare(t, now)
	if sched.urgent(t, now) {
		share = urgentLongShare
	}
	limit := math.Max(share*float64(slots), math.Min(urgentLongShare*float64(slots), float64(slots)-shortGrowthFactor*sched.shortPeak))
	return held == 0 || float64(held+1) <= limit
}

// longShare returns the share of the slots that t may use even while short work
// needs the rest.
func (sched *scheduler) longShare(t *ticket, now time.Time) float64 {
	waited := now.Sub(t.enqueued).Seconds()
	used := waited / math.Max(t.request.Deadline.Sub(t.enqueued).Seconds(), minPositive)
	return initialLongShare + (urgentLongShare-initialLongShare)*used
}

// updateShortPeak updates the peak of short work, which rises at once and decays
// slowly.
func (sched *scheduler) updateShortPeak(now time.Time) {
	n := float64(len(sched.shortQueue))
	for _, l := range sched.leases {
		if !l.long {
			n++
		}
	}
	sched.shortPeak *= math.Exp(-now.Sub(sched.shortPeakAt).Seconds() / shortPeakDecay.Seconds())
	sched.shortPeak = math.Max(sched.shortPeak, n)
	sched.shortPeakAt = now
}

// chooseTarget returns the target with capacity where t ends first. Long work
// takes the slowest target that meets its deadline with time to spare. Small work
// may be sent to a slow target as a probe.
func (sched *scheduler) chooseTarget(t *ticket, now time.Time) *trackedTarget {
	var best *trackedTarget
	left := t.request.Deadline.Sub(now).Seconds()
	small := t.work <= math.Exp(sched.predictor.typical(sched.pool).mean) // suitable as a probe
	for _, s := range sched.targets {
		if !eligible(s, t) {
			continue
		}
		if small && s.probeDue(now, sched.grantCount) && probeSpareFactor*t.work/s.speed() < left {
			s.lastProbe, s.lastProbeGrant = now, sched.grantCount
			return s
		}
		if s.hasCapacity() && (best == nil || sched.better(t, s, best, left)) {
			best = s
		}
	}
	return best
}

// Time that must be left, in multiples of the predicted run time: spareFactor for
// long work to take a slower target, probeSpareFactor to send a probe.
const (
	spareFactor      = 2.5
	probeSpareFactor = 1.5
)

// better reports whether x is a better target for t than y.
func (sched *scheduler) better(t *ticket, x, y *trackedTarget, left float64) bool {
	if t.long {
		xs, ys := t.work/x.speed()*spareFactor < left, t.work/y.speed()*spareFactor < left
		if xs != ys {
			return xs
		}
		if xs {
			return x.speed() < y.speed()
		}
	}
	return x.speed() > y.speed()
}

// expectedTime predicts the run time of t at s, or returns zero if its kind of
// work is not known. It uses the long-term speed even if the target is slow now.
func (sched *scheduler) expectedTime(s *trackedTarget, t *ticket) time.Duration {
	if !sched.predictor.estimate(t.key).known() {
		return 0
	}
	return seconds(t.work / math.Exp(s.longTermSpeed))
}

// addLease records that t holds a slot of s.
func (sched *scheduler) addLease(s *trackedTarget, t *ticket, now time.Time) {
	l := &lease{id: t.request.AttemptID, owner: t.owner, granted: now, renewed: now, work: t.work, long: t.long, key: t.key, target: s}
	s.leases[l.id] = l
	sched.leases[l.id] = l
	sched.grantCount++
}
