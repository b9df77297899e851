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
	waitGain = 0.92
	// overrunPart is the part of its predicted time that an attempt is taken to
	// need still, once it has run for nearly all of it or longer.
	overrunPart = 0.25
	// overrunLimit is by how many times its predicted time an attempt may run
	// before its end is taken to be unknown.
	overrunLimit = 1.25
	// waitFactor is how many times the typical work of the pool a ticket must
	// have to wait: less gains too little for a prediction that may be wrong.
	waitFactor = 1.3
	// steadyRatio is the recent speed relative to the past below which a target
	// makes the times of its pool too uncertain to wait for.
	steadyRatio = 0.75
)

// opening is a slot in use and the seconds until it is predicted to be free.
type opening struct {
	target *slotState
	in     float64
}

// steady reports whether every target is about as fast as it was.
func (b *board) steady() bool {
	for _, s := range b.targets {
		if s.ratio < steadyRatio || s.failed > 0 {
			return false
		}
	}
	return true
}

// openings returns the slots that short work holds, the soonest free first,
// and none while a target isn't steady.
func (b *board) openings(now time.Time) []opening {
	if !b.steady() {
		return nil
	}
	var out []opening
	for _, s := range b.targets {
		for _, l := range s.leases {
			if l.long {
				continue
			}
			whole := l.work / s.speed()
			ran := now.Sub(l.at).Seconds()
			if ran > overrunLimit*whole {
				continue
			}
			left := math.Max(whole-ran, overrunPart*whole)
			out = append(out, opening{target: s, in: left})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].in < out[j].in })
	return out
}

// await returns the opening for which t should rather wait than take a free
// slot of s, or -1.
func (b *board) await(t *ticket, s *slotState, openings []opening, now time.Time) int {
	if t.work < waitFactor*math.Exp(b.work.typical(b.pool).mean) {
		return -1
	}
	best, least := -1, waitGain*t.work/s.speed()-now.Sub(t.since).Seconds()
	for i, o := range openings {
		if o.in >= least {
			break
		}
		if ends := o.in + t.work/o.target.speed(); ends < least && suits(o.target, t) {
			best, least = i, ends
		}
	}
	return best
}
