package queue

import (
	"math"
	"sort"
	"time"
)

// This file chooses between a free slot of a slow target and waiting for a busy
// slot of a faster one.

const (
	// A ticket waits for a faster slot only if its wait, so far and still to come,
	// and the run there take less than maxWaitRatio of the run time on the free
	// slot.
	maxWaitRatio = 0.92
	// minRemainingRatio is the least part of its predicted time that an attempt is
	// assumed to need still, even if it has run for nearly all of it or longer.
	minRemainingRatio = 0.25
	// overrunLimit is how many times its predicted time an attempt may run before
	// its end is treated as unknown.
	overrunLimit = 1.25
	// Only tickets with at least waitWorkFactor times the typical work of the pool
	// wait: smaller ones gain too little for a prediction that may be wrong.
	waitWorkFactor = 1.3
	// A target whose speed ratio is below steadyRatio makes the predicted times of
	// its pool too uncertain to wait for.
	steadyRatio = 0.75
)

// busySlot is a slot in use, with the predicted seconds until it is free.
type busySlot struct {
	target *trackedTarget
	freeIn float64
}

// steady reports whether every target is about as fast as in the past and its
// last attempt did not fail.
func (sched *scheduler) steady() bool {
	for _, s := range sched.targets {
		if s.speedRatio < steadyRatio || s.consecutiveFailures > 0 {
			return false
		}
	}
	return true
}

// busySlots returns the slots that short work holds, soonest free first. It
// returns none while any target is not steady.
func (sched *scheduler) busySlots(now time.Time) []busySlot {
	if !sched.steady() {
		return nil
	}
	var out []busySlot
	for _, s := range sched.targets {
		for _, l := range s.leases {
			if l.long {
				continue
			}
			whole := l.work / s.speed()
			ran := now.Sub(l.granted).Seconds()
			if ran > overrunLimit*whole {
				continue
			}
			left := math.Max(whole-ran, minRemainingRatio*whole)
			out = append(out, busySlot{target: s, freeIn: left})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].freeIn < out[j].freeIn })
	return out
}

// slotWorthWaiting returns the index of the busy slot that t should wait for rather
// than take a free slot of s, or -1.
func (sched *scheduler) slotWorthWaiting(t *ticket, s *trackedTarget, busy []busySlot, now time.Time) int {
	if t.work < waitWorkFactor*math.Exp(sched.predictor.typical(sched.pool).mean) {
		return -1
	}
	best, least := -1, maxWaitRatio*t.work/s.speed()-now.Sub(t.enqueued).Seconds()
	for i, b := range busy {
		if b.freeIn >= least {
			break
		}
		if ends := b.freeIn + t.work/b.target.speed(); ends < least && eligible(b.target, t) {
			best, least = i, ends
		}
	}
	return best
}
