package queue

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// This file holds the choice of the ticket that gets the next free slot and of
// the target whose slot it is.

// schedule grants free slots: first to long work that is urgent, then to short
// work, then to long work. b.mu is held.
func (b *scheduler) schedule(now time.Time) {
	updateSpeedRatios(b.targets)
	b.longQueue = b.grantFrom(b.longQueue, now, true)
	b.shortQueue = b.grantFrom(b.shortQueue, now, false)
	b.longQueue = b.grantFrom(b.longQueue, now, false)
}

// urgent reports whether a long ticket has little time left.
func (b *scheduler) urgent(t *ticket, now time.Time) bool {
	return t.request.Deadline.Sub(now) < urgentFactor*b.minRunTime(t)
}

// grantFrom grants slots to the tickets of a list, or to the urgent ones alone,
// and returns those that go on waiting.
func (b *scheduler) grantFrom(list []*ticket, now time.Time, urgent bool) []*ticket {
	rest := list[:0]
	var openings []busySlot
	for i, t := range list {
		if !b.anyCapacity() {
			rest = append(rest, list[i:]...)
			break
		}
		if i == 0 && !t.long {
			openings = b.busySlots(now)
		}
		if (urgent && !b.urgent(t, now)) || !b.grantOrRefuse(t, &openings, now) {
			rest = append(rest, t)
		}
	}
	for i := len(rest); i < len(list); i++ {
		list[i] = nil
	}
	return rest
}

func (b *scheduler) anyCapacity() bool {
	for _, s := range b.targets {
		if s.hasCapacity() {
			return true
		}
	}
	return false
}

// settle grants a slot to t or refuses it, and reports whether it did. Short
// work that waits for one of the openings takes it from them.
func (b *scheduler) grantOrRefuse(t *ticket, openings *[]busySlot, now time.Time) bool {
	if t.request.Deadline.Sub(now) < b.minRunTime(t) {
		b.deliver(t, decision{code: result.Overloaded, message: "no slot came free in time"}, now)
		return true
	}
	if t.long && !b.mayRunLong(t, now) {
		return false
	}
	s := b.chooseTarget(t, now)
	if s == nil {
		return false
	}
	if i := b.slotWorthWaiting(t, s, *openings, now); i >= 0 {
		*openings = append((*openings)[:i], (*openings)[i+1:]...)
		return false
	}
	b.addLease(s, t, now)
	b.deliver(t, decision{target: s.target.Name, expected: b.expectedTime(s, t), long: t.long}, now)
	return true
}

// longRoom reports whether t, which is long, may hold one more slot.
func (b *scheduler) mayRunLong(t *ticket, now time.Time) bool {
	slots, held := 0, 0
	for _, s := range b.targets {
		slots += s.slots
		for _, l := range s.leases {
			if l.long {
				held++
			}
		}
	}
	share := b.longShare(t, now)
	if b.urgent(t, now) {
		share = urgentLongShare
	}
	room := math.Max(share*float64(slots), math.Min(urgentLongShare*float64(slots), float64(slots)-shortGrowthFactor*b.shortPeak))
	return held == 0 || float64(held+1) <= room
}

// longPart is the share of slots that t may use even while short work needs
// the rest.
func (b *scheduler) longShare(t *ticket, now time.Time) float64 {
	waited := now.Sub(t.enqueued).Seconds()
	used := waited / math.Max(t.request.Deadline.Sub(t.enqueued).Seconds(), minPositive)
	return initialLongShare + (urgentLongShare-initialLongShare)*used
}

// follow updates the level of short work: it rises at once and falls slowly.
func (b *scheduler) updateShortPeak(now time.Time) {
	n := float64(len(b.shortQueue))
	for _, l := range b.leases {
		if !l.long {
			n++
		}
	}
	b.shortPeak *= math.Exp(-now.Sub(b.shortPeakAt).Seconds() / shortPeakDecay.Seconds())
	b.shortPeak = math.Max(b.shortPeak, n)
	b.shortPeakAt = now
}

// place returns the target with room where t ends first. Long work takes the
// slowest target that meets its deadline with room to spare.
func (b *scheduler) chooseTarget(t *ticket, now time.Time) *trackedTarget {
	var best *trackedTarget
	left := t.request.Deadline.Sub(now).Seconds()
	small := t.work <= math.Exp(b.predictor.typical(b.pool).mean) // good for a probe
	for _, s := range b.targets {
		if !eligible(s, t) {
			continue
		}
		if small && s.probeDue(now, b.grantCount) && probeSpareFactor*t.work/s.speed() < left {
			s.lastProbe, s.lastProbeGrant = now, b.grantCount
			return s
		}
		if s.hasCapacity() && (best == nil || b.better(t, s, best, left)) {
			best = s
		}
	}
	return best
}

// spareFactor is the time left, in multiples of the predicted time, with which
// long work may take a slower target.
// A probe needs time for probeSpare times the predicted one.
const (
	spareFactor      = 2.5
	probeSpareFactor = 1.5
)

// better reports whether t should rather go to x than to y.
func (b *scheduler) better(t *ticket, x, y *trackedTarget, left float64) bool {
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

// expects is the predicted time of t at s, or zero when its kind is not known.
// A target that is slow now is expected to be as fast as it was.
func (b *scheduler) expectedTime(s *trackedTarget, t *ticket) time.Duration {
	if !b.predictor.estimate(t.key).known() {
		return 0
	}
	return seconds(t.work / math.Exp(s.longTermSpeed))
}

// lease records that t holds a slot of s.
func (b *scheduler) addLease(s *trackedTarget, t *ticket, now time.Time) {
	l := &lease{id: t.request.AttemptID, owner: t.owner, granted: now, renewed: now, work: t.work, long: t.long, key: t.key, target: s}
	s.leases[l.id] = l
	b.leases[l.id] = l
	b.grantCount++
}
