package stage

import (
	"sort"
	"time"

	"go.uber.org/zap"
)

// The order in this file is for load peaks in which not all admitted work can be on time:
// promised jobs go first once they would otherwise be served too late.

const (
	// promiseMargin is how long before its latest start a promised job goes first.
	promiseMargin = 100 * time.Millisecond
	// capacityFallFactor is the growth of the time of a piece from which the capacity of
	// a pool counts as fallen.
	capacityFallFactor = 1.1
)

// prioritize puts first the promised jobs that must start now for all promises to be kept,
// in the order of the promised times. Deferred jobs of requests that have begun come before
// the other deferred ones. The jobs must be in the order of the last call of order.
func (q *queue) prioritize(now time.Time) {
	call := q.callTimeAtOrder
	promised := q.demandBuffer[:0]
	for _, j := range q.jobs {
		if j.Promised && len(j.waiting) > 0 {
			promised = append(promised, demand{end: j.promise.Sub(now) - call, cost: q.workTime(j)})
		}
	}
	since := now.Sub(q.epoch)
	for _, r := range q.reserved {
		promised = append(promised, r.demand(q.atOrder, call, since))
	}
	q.demandBuffer = promised
	var latest [slotCount]time.Duration
	latestStarts(promised, &latest)
	for _, j := range q.jobs {
		j.critical = j.Promised && latest[slotOf(j.promise.Sub(now)-call)] <= promiseMargin
	}
	sort.SliceStable(q.jobs, func(i, k int) bool {
		a, b := q.jobs[i], q.jobs[k]
		if a.class() != b.class() {
			return a.class() < b.class()
		}
		return a.critical && a.promise.Before(b.promise)
	})
}

// class returns the place of j's class in the order of jobs.
func (j *job) class() int {
	switch {
	case j.critical:
		return 0
	case !j.deferred:
		return 1
	case j.Begun:
		return 2
	default:
		return 3
	}
}

// endUnservable ends the waiting jobs that can't be served any more after the capacity of
// the pool has fallen, for example because targets were lost.
func (b *Batcher) endUnservable(q *queue, now time.Time) {
	if !q.promising || len(q.jobs) == 0 {
		return
	}
	q.refresh(b.Catalog())
	c := q.capacity(now)
	fallen := c.slots > 0 && float64(c.piece) > capacityFallFactor*float64(q.lastPieceTime)
	first := q.lastPieceTime == 0
	q.lastPieceTime = c.piece
	if !fallen || first {
		return
	}
	q.order(now)
	late := q.hopeless(now)
	b.Log.Info("capacity of a pool fell", zap.String("Service", q.service), zap.Int("Slots", c.slots), zap.Duration("Piece", c.piece),
		zap.Int("Waiting", len(q.jobs)), zap.Int("Ended", len(late)))
	for _, j := range late {
		b.endJob(j, Late)
	}
}
