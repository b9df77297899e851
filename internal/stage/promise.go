package stage

import (
	"sort"
	"time"

	"go.uber.org/zap"
)

// The decisions of this file answer a load peak in which not all that was admitted can
// be on time: what was promised goes first when it would be served too late otherwise.

const (
	// promiseMargin is how long before its latest start a promised job goes first.
	promiseMargin = 100 * time.Millisecond
	// judgeFactor is the growth of the time of a piece from which waiting jobs are
	// judged again.
	judgeFactor = 1.1
)

// prioritize puts promised jobs first that must start now so that all promises can be
// kept, by the times that were promised, and deferred jobs of requests that have begun
// before the other deferred ones. The jobs must be in the order of the last call of
// order.
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

// judge ends the waiting jobs that can't be served any more after the capacity of the
// pool has fallen, such as when targets were lost while all others are in use.
func (b *Batcher) judge(q *queue, now time.Time) {
	if !q.reserving || len(q.jobs) == 0 {
		return
	}
	q.refresh(b.Catalog())
	c := q.capacity(now)
	fallen := c.slots > 0 && float64(c.piece) > judgeFactor*float64(q.judgedPiece)
	first := q.judgedPiece == 0
	q.judgedPiece = c.piece
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
