package stage

import "time"

// The decision in this file is for load peaks of several seconds in which later stages have
// too little capacity for all requests that the first stage admits. Requests in an earlier
// stage don't wait at the later pools yet, but will need their capacity. A request is
// promised capacity only if that promise and all earlier ones can be kept.

// Resolution and bounds of a calendar.
const (
	// slotTime is the resolution of a calendar. It is short beside the target latencies
	// of seconds and long beside the time of a decision.
	slotTime = 50 * time.Millisecond
	// slotCount slots cover 10 s. Work that may end later counts as due at their end.
	slotCount = 200
	// usablePercent is the part of the capacity of full calls that is promised. The rest
	// is lost because jobs are not split among calls and calls end at any time.
	usablePercent = 90
	usableShare   = usablePercent / 100.0
	// slotCapacity is the time of all targets together that a slot provides.
	slotCapacity = slotTime * usablePercent / 100
)

// demand is work that a pool has been given, has promised or is asked for. Times count
// from now.
type demand struct {
	// start is the time from which the work can run, end the time by which it must have
	// been taken into a call.
	start, end time.Duration
	// cost is the time that the work takes of all targets together.
	cost time.Duration
}

// busyTargets says until when the targets of a pool are busy with calls that run. The zero
// value is that of targets that are all free.
type busyTargets struct {
	// until counts the targets by the slot from which they are free; the last one counts
	// all later slots too.
	until [busySlots]int32
	total int32
}

// busySlots slots cover 2 s, longer than a call takes.
const busySlots = 40

// add adds a target that is free after d.
func (b *busyTargets) add(d time.Duration) {
	b.until[min(slotOf(d+slotTime/2), busySlots-1)]++
	b.total++
}

// calendar predicts when the demands on a pool are met if those that end first go
// first. It keeps its memory between predictions.
type calendar struct {
	// first holds the demand that heads the list of those that start in a slot, next
	// the following demand of each; -1 ends a list.
	first [slotCount]int32
	next  []int32
	// pending is the cost of the demands that can run, by the slot of their ends.
	pending [slotCount]time.Duration
}

// slotOf returns the slot of the time d from now.
func slotOf(d time.Duration) int {
	return int(min(max(0, d)/slotTime, slotCount-1))
}

// listByStart lists the demands by the slots of their starts.
func (c *calendar) listByStart(demands []demand) {
	for s := range c.first {
		c.first[s] = -1
	}
	c.next = c.next[:0]
	for i := range demands {
		s := slotOf(demands[i].start)
		c.next = append(c.next, c.first[s])
		c.first[s] = int32(i)
	}
}

// lateness returns the greatest time by which demands that end in the slot from or
// later are met too late, and zero if none is. Capacity that no demand can use in its slot
// is lost.
func (c *calendar) lateness(demands []demand, busy *busyTargets, from int) time.Duration {
	c.listByStart(demands)
	clear(c.pending[:])
	lowest, late := slotCount, 0
	freeTargets := int32(0)
	for s := range slotCount {
		for i := c.first[s]; i >= 0; i = c.next[i] {
			end := slotOf(demands[i].end)
			c.pending[end] += demands[i].cost
			lowest = min(lowest, end)
		}
		free := slotCapacity
		if s < busySlots && busy.total > 0 {
			freeTargets += busy.until[s]
			free = slotCapacity * time.Duration(freeTargets) / time.Duration(busy.total)
		}
		for free > 0 && lowest < slotCount {
			done := min(free, c.pending[lowest])
			if done > 0 && lowest >= from {
				late = max(late, s-lowest)
			}
			free -= done
			if c.pending[lowest] -= done; c.pending[lowest] == 0 {
				lowest++
			}
		}
	}
	return max(time.Duration(late)*slotTime, c.latenessOfRest(from))
}

// latenessOfRest returns the greatest lateness of what is pending after the last slot.
func (c *calendar) latenessOfRest(from int) time.Duration {
	late, rest := time.Duration(0), time.Duration(0)
	for end, cost := range c.pending {
		rest += cost
		if cost > 0 && end >= from {
			late = max(late, time.Duration(slotCount-1-end)*slotTime+time.Duration(float64(rest)/usableShare))
		}
	}
	return late
}

// decide reports whether asked can be promised beside the demands, and otherwise the
// time after which it could be if nothing else changed. headroom is the cost that has
// to stay free for others. Demands that end before asked don't matter to the answer,
// since they go first: one that is late already must not prevent others from being served.
func (c *calendar) decide(demands []demand, busy *busyTargets, asked demand, headroom time.Duration) (wait time.Duration, granted bool) {
	asked.cost += headroom
	late := c.lateness(append(demands, asked), busy, slotOf(asked.end))
	return late, late == 0 && asked.end >= 0
}

// latestStarts sets latest to the times from now at which the demands that end in each
// slot must start at the latest, so that all demands that end there or later are met.
func latestStarts(demands []demand, latest *[slotCount]time.Duration) {
	var cost [slotCount]time.Duration
	for i := range demands {
		cost[slotOf(demands[i].end)] += demands[i].cost
	}
	at := slotTime * slotCount
	for s := slotCount - 1; s >= 0; s-- {
		at = min(at, time.Duration(s)*slotTime)
		at -= time.Duration(float64(cost[s]) / usableShare)
		latest[s] = at
	}
}
