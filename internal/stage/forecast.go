package stage

import (
	"time"

	"go.uber.org/zap"
)

// The forecasts in this file are for load peaks of several seconds. The queues of the later
// stages are still short when a peak begins, so recorded work counts before its jobs arrive.
// Work that can't be on time waits until newer work leaves capacity for it, which may be
// after the peak.

// Admission selects how hosts admit requests with stages.
type Admission string

// The ways of admission.
const (
	// EstimateAdmission admits by the wait estimates of the last heartbeats. The empty string
	// means the same.
	EstimateAdmission Admission = "Estimate"
	// ForecastAdmission admits by forecasts of batchers that record what all hosts admit.
	ForecastAdmission Admission = "Forecast"
	// ReservationAdmission admits what batchers promise to serve.
	ReservationAdmission Admission = "Reservation"
)

// records reports whether batchers record the work of admitted requests.
func (a Admission) records() bool { return a == ForecastAdmission || a == ReservationAdmission }

const (
	// loadBuckets is the number of tally buckets, of 250 ms each, over which the load of a
	// pool is measured. A second is short enough for the forecast to follow the start of a
	// peak of several seconds.
	loadBuckets = 4
	// maxForecastLoad bounds the load of a pool in a forecast, since the wait for late work
	// would be infinite at a load of 1. At this bound it is 20 times that in an idle pool.
	maxForecastLoad = 0.95
)

// record adds a reservation without a decision and returns the forecast for it. A call that
// is repeated because its reply was lost adds nothing and gets the same answer.
func (b *Batcher) record(host string, r Reservation, now time.Time) Answer {
	if known := b.reservations[r.ID]; known != nil {
		return Answer{Granted: true, Forecast: known.forecast}
	}
	q := b.queue(r.Service)
	b.refreshRecent(q, now)
	c := q.recent.capacity
	if c.slots == 0 || len(b.reservations) >= maxReservations {
		b.logRefusal(r, zap.Int("Targets", len(q.targets)), zap.Int("Reservations", len(b.reservations)))
		b.count("Refused")
		return Answer{Wait: noTargetWait}
	}
	b.refreshShares(q, c, q.callTimeOf(c, q.waitingPieces(), r.Pieces), now)
	cost := c.cost(r.Pieces, r.PieceBytes)
	o := q.forecast(c, &r, q.shares.standing(&r, cost, now).shareHeadroom(), now)
	counted := q.shares.record(&r, cost, true, now)
	recorded := b.addReservation(host, r, now)
	recorded.charge, recorded.forecast = counted, o
	b.count("Recorded")
	return Answer{Granted: true, Forecast: o}
}

// forecast returns the outlook for r, which must leave headroom for others. Only work that is
// due earlier is ahead of it, since that is the order of the queue, and no less urgent work,
// since that is deferred first. Work that is not on time gets only the capacity that the load
// leaves. Calls fill up while work waits, so the capacity is that of full calls. Recorded work
// counts as on time, also if its request was admitted late.
func (q *queue) forecast(c capacity, r *Reservation, headroom time.Duration, now time.Time) Outlook {
	call, due := q.callTime(), now.Add(r.Due)
	ahead, all := headroom, headroom
	for _, j := range q.jobs {
		cost := c.cost(len(j.waiting), j.PieceBytes)
		all += cost
		if j.Rank <= r.Rank && !j.due.After(due) && !tooLate(j, call, now) {
			ahead += cost
		}
	}
	since := due.Sub(q.epoch)
	for _, other := range q.reserved {
		cost := c.cost(other.Pieces, other.PieceBytes)
		all += cost
		if other.Rank <= r.Rank && other.due <= since {
			ahead += cost
		}
	}
	o := Outlook{Ahead: c.timeFor(ahead), All: c.timeFor(all), PerPiece: c.piece}
	o.All = max(o.Ahead, time.Duration(float64(o.All)/(1-min(q.load(now), maxForecastLoad))))
	return o
}

// timeFor returns the time until a target is free for new work, if work of the given cost
// goes first. Targets take it as they finish the calls that they run.
func (c *capacity) timeFor(cost time.Duration) time.Duration {
	free := int32(0)
	for s, n := range c.busy.until {
		free += n
		done := slotTime * time.Duration(free) / time.Duration(max(1, c.busy.total))
		if free > 0 && cost <= done {
			return time.Duration(s)*slotTime + time.Duration(float64(slotTime)*float64(cost)/float64(done))
		}
		cost -= done
	}
	return busySlots*slotTime + cost
}

// load returns the work that was recorded in the last loadBuckets and not given back, relative
// to what the pool can do in that time.
func (q *queue) load(now time.Time) float64 {
	bucket := q.shares.bucketAt(now)
	begun := now.Sub(q.shares.origin) - time.Duration(bucket)*tallyBucketTime
	window := (loadBuckets-1)*tallyBucketTime + begun
	return float64(q.shares.all.recentlyGranted(bucket, loadBuckets)) / float64(window)
}
