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
func (b *board) schedule(now time.Time) {
	judge(b.targets)
	b.long = b.grantFrom(b.long, now, true)
	b.short = b.grantFrom(b.short, now, false)
	b.long = b.grantFrom(b.long, now, false)
}

// urgent reports whether a long ticket has little time left.
func (b *board) urgent(t *ticket, now time.Time) bool {
	return t.ask.Deadline.Sub(now) < urgentFactor*b.least(t)
}

// grantFrom grants slots to the tickets of a list, or to the urgent ones alone,
// and returns those that go on waiting.
func (b *board) grantFrom(list []*ticket, now time.Time, urgent bool) []*ticket {
	rest := list[:0]
	var openings []opening
	for i, t := range list {
		if !b.anyRoom() {
			rest = append(rest, list[i:]...)
			break
		}
		if i == 0 && !t.long {
			openings = b.openings(now)
		}
		if (urgent && !b.urgent(t, now)) || !b.settle(t, &openings, now) {
			rest = append(rest, t)
		}
	}
	for i := len(rest); i < len(list); i++ {
		list[i] = nil
	}
	return rest
}

func (b *board) anyRoom() bool {
	for _, s := range b.targets {
		if s.room() {
			return true
		}
	}
	return false
}

// settle grants a slot to t or refuses it, and reports whether it did. Short
// work that waits for one of the openings takes it from them.
func (b *board) settle(t *ticket, openings *[]opening, now time.Time) bool {
	if t.ask.Deadline.Sub(now) < b.least(t) {
		b.deliver(t, decision{code: result.Overloaded, message: "no slot came free in time"}, now)
		return true
	}
	if t.long && !b.longRoom(t, now) {
		return false
	}
	s := b.place(t, now)
	if s == nil {
		return false
	}
	if i := b.await(t, s, *openings, now); i >= 0 {
		*openings = append((*openings)[:i], (*openings)[i+1:]...)
		return false
	}
	b.lease(s, t, now)
	b.deliver(t, decision{target: s.target.Name, expects: b.expects(s, t), long: t.long}, now)
	return true
}

// longRoom reports whether t, which is long, may hold one more slot.
func (b *board) longRoom(t *ticket, now time.Time) bool {
	slots, held := 0, 0
	for _, s := range b.targets {
		slots += s.slots
		for _, l := range s.leases {
			if l.long {
				held++
			}
		}
	}
	share := b.longPart(t, now)
	if b.urgent(t, now) {
		share = urgentShare
	}
	room := math.Max(share*float64(slots), math.Min(urgentShare*float64(slots), float64(slots)-swing*b.level))
	return held == 0 || float64(held+1) <= room
}

// longPart is the share of slots that t may use even while short work needs
// the rest.
func (b *board) longPart(t *ticket, now time.Time) float64 {
	waited := now.Sub(t.since).Seconds()
	used := waited / math.Max(t.ask.Deadline.Sub(t.since).Seconds(), minSample)
	return longShare + (urgentShare-longShare)*used
}

// follow updates the level of short work: it rises at once and falls slowly.
func (b *board) follow(now time.Time) {
	n := float64(len(b.short))
	for _, l := range b.leases {
		if !l.long {
			n++
		}
	}
	b.level *= math.Exp(-now.Sub(b.followed).Seconds() / levelFall.Seconds())
	b.level = math.Max(b.level, n)
	b.followed = now
}

// place returns the target with room where t ends first. Long work takes the
// slowest target that meets its deadline with room to spare.
func (b *board) place(t *ticket, now time.Time) *slotState {
	var best *slotState
	left := t.ask.Deadline.Sub(now).Seconds()
	small := t.work <= math.Exp(b.work.typical(b.pool).mean) // good for a probe
	for _, s := range b.targets {
		if !suits(s, t) {
			continue
		}
		if small && s.probeDue(now, b.grants) && probeSpare*t.work/s.speed() < left {
			s.probed, s.probeGrant = now, b.grants
			return s
		}
		if s.room() && (best == nil || b.better(t, s, best, left)) {
			best = s
		}
	}
	return best
}

// spareFactor is the time left, in multiples of the predicted time, with which
// long work may take a slower target.
// A probe needs time for probeSpare times the predicted one.
const (
	spareFactor = 2.5
	probeSpare  = 1.5
)

// better reports whether t should rather go to x than to y.
func (b *board) better(t *ticket, x, y *slotState, left float64) bool {
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
func (b *board) expects(s *slotState, t *ticket) time.Duration {
	if !b.work.estimate(t.key).known() {
		return 0
	}
	return seconds(t.work / math.Exp(s.past))
}

// lease records that t holds a slot of s.
func (b *board) lease(s *slotState, t *ticket, now time.Time) {
	l := &lease{id: t.ask.AttemptID, owner: t.owner, at: now, renewed: now, work: t.work, long: t.long, key: t.key, target: s}
	s.leases[l.id] = l
	b.leases[l.id] = l
	b.grants++
}
