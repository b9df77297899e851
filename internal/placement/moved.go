package placement

import (
	"math"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// This file rebuilds the load of targets after the loss of a holder, from the requests that
// hosts still have open at targets that the former holder chose.

// maxMovedSamples is the number of samples from which the slowness that a former holder knew
// doesn't count any more: own samples are newer.
const maxMovedSamples = 8

// addMoved counts m, which another holder sent to t, unless it is known already or went to
// a former incarnation of t. The host's list, which comes with m, has its progress.
func (lt *LoadTable) addMoved(m *MovedRequest, t *catalog.Target, now time.Time) {
	w := &m.Work
	if lt.requests[w.ID] != nil || m.Choice.Born != t.Born || m.Choice.Slowness <= 0 {
		return
	}
	lt.recordMessage(w.Host, now)
	s := lt.targetState(t)
	if s.slowness.samples < maxMovedSamples {
		s.slowness.add(math.Log(m.Choice.Slowness), now)
	}
	q := lt.newWorkQuery(w, now)
	e := q.engineRequest(s, m.Choice.Cached)
	// The queue of the target at the choice is known from the prediction alone.
	e.firstEvent = max(e.firstEvent, (m.Choice.Expected.Seconds()-firstEventOverhead)/m.Choice.Slowness)
	start := now.Add(-max(0, m.Age))
	s.load.add(e, now)
	e.startedAt = start
	s.decayed.interval = 0
	lt.work.parts.add(q.sharedParts(), s, now)
	lt.addRequest(w, s, e, baseTokens+q.prefill(m.Choice.Cached), now)
	lt.requests[w.ID].startedAt = start
}
