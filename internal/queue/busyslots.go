package queue

import (
	"math"
	"sort"
	"time"
)

// This file holds the choice between a free slot of a slow target and waiting
// for a slot of a faster one.

const (
	// waitGain is the part of the time on a free slot that waiting for a faster
	// one must not exceed, wait included.
	maxWaitRatio = 0.92
	// overrunPart is the part of its predicted time that an attempt is taken to
	// need still, once it has run for nearly all of it or longer.
	minRemainingRatio = 0.25
	// overrunLimit is by how many times its predicted time an attempt may run
	// before its end is taken to be unknown.
	overrunLimit = 1.25
	// waitFactor is how many times the typical work of the pool a ticket must
	// have to wait: less gains too little for a prediction that may be wrong.
	waitWorkFactor = 1.3
	// steadyRatio is the recent speed relative to the past below which a target
	// makes the times of its pool too uncertain to wait for.
	steadyRatio = 0.75
)

// opening is a slot in use and the seconds until it is predicted to be free.
type busySlot struct {
	target *trackedTarget
	freeIn float64
}

// steady reports whether every target is about as fast as it was.
func (b *scheduler) steady() bool {
	for _, s := range b.targets {
		if s.speedRatio < steadyRatio || s.consecutiveFailures > 0 {
			return false
		}
	}
	return true
}

// openings returns the slots that short work holds, the soonest free first,
// and none while a target isn't steady.
func (b *scheduler) busySlots(now time.Time) []busySlot {
	if !b.steady() {
		return nil
	}
	var out []busySlot
	for _, s := range b.targets {
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

// await returns the opening for which t should rather wait than take a free
// slot of s, or -1.
func (b *scheduler) slotWorthWaiting(t *ticket, s *trackedTarget, openings []busySlot, now time.Time) int {
	if t.work < waitWorkFactor*math.Exp(b.predictor.typical(b.pool).mean) {
		return -1
	}
	best, least := -1, maxWaitRatio*t.work/s.speed()-now.Sub(t.enqueued).Seconds()
	for i, o := range openings {
		if o.freeIn >= least {
			break
		}
		if ends := o.freeIn + t.work/o.target.speed(); ends < least && eligible(o.target, t) {
			best, least = i, ends
		}
	}
	return best
}
