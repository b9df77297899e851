package stage

import (
	"time"

	"go.uber.org/zap"
)

// The decisions in this file are for load peaks: a pool is promised to no more requests than
// it can serve in time, and those that are refused learn when to come back.

const (
	// noTargetWait is the wait at a pool without targets.
	noTargetWait = time.Second
	// returnFactor is the ratio of the time over which capacity comes free after a load
	// peak to the time that the refused work takes of all targets: pools are half busy
	// outside of peaks.
	returnFactor = 2
)

// recent holds what the decisions within recentLifetime share, since computing it takes
// as long as a decision.
type recent struct {
	at       time.Time
	capacity capacity
	outlook  Outlook
}

// recentLifetime is the age from which recent is computed anew. It is less than the
// resolution of the calendar.
const recentLifetime = sweepInterval

// refreshRecent takes the targets of q from the catalog and computes recent anew, if it is
// old or the pool has been removed since.
func (b *Batcher) refreshRecent(q *queue, now time.Time) {
	if q.pool != nil && !q.recent.at.IsZero() && now.Sub(q.recent.at) < recentLifetime {
		return
	}
	q.refresh(b.Catalog())
	q.recent = recent{at: now, capacity: q.capacity(now), outlook: b.waitEstimate(q, now)}
}

// decide grants or refuses one reservation. A call that is repeated because its reply
// was lost is granted again.
func (b *Batcher) decide(host string, r Reservation, now time.Time) Answer {
	q := b.queue(r.Service)
	if b.reservations[r.ID] != nil {
		return Answer{Granted: true}
	}
	b.refreshRecent(q, now)
	c := q.recent.capacity
	if c.slots == 0 || len(b.reservations) >= maxReservations {
		b.logRefusal(r, zap.Int("Targets", len(q.targets)), zap.Int("Reservations", len(b.reservations)))
		b.count("Refused")
		return Answer{Wait: noTargetWait}
	}
	d := b.evaluate(q, &r, now)
	counted := q.shares.record(&r, d.asked.cost, d.granted, now)
	if d.granted {
		b.addReservation(host, r, now).charge = counted
		b.count("Granted")
		return Answer{Granted: true}
	}
	q.shares.shortAt = now
	b.count("Refused")
	total, served := q.shares.all.sums(q.shares.bucketAt(now))
	spread := returnFactor * (total - served)
	b.logRefusal(r, append(d.fields(&q.recent, now), zap.Duration("Spread", spread))...)
	return Answer{Wait: d.wait, Spread: spread}
}

// decision is a decision on one reservation with its inputs.
type decision struct {
	asked demand
	// call is the expected time of a call.
	call     time.Duration
	standing standing
	demands  []demand
	wait     time.Duration
	granted  bool
}

// evaluate decides on r without granting it.
func (b *Batcher) evaluate(q *queue, r *Reservation, now time.Time) decision {
	c := q.recent.capacity
	call := q.callTimeOf(c, q.waitingPieces(), r.Pieces)
	d := decision{call: call, asked: demand{start: r.Start, end: r.End - call, cost: c.cost(r.Pieces, r.PieceBytes)}}
	b.refreshShares(q, c, call, now)
	d.standing = q.shares.standing(r, d.asked.cost, now)
	d.demands = q.demands(c, call, now)
	d.wait, d.granted = q.calendar.decide(d.demands, &c.busy, d.asked, d.standing.headroom())
	return d
}

// fields returns the log fields of d, which was made with the capacity in recent.
func (d *decision) fields(recent *recent, now time.Time) []zap.Field {
	return []zap.Field{
		zap.Duration("Cost", d.asked.cost), zap.Duration("Start", d.asked.start), zap.Duration("End", d.asked.end+d.call), zap.Duration("Call", d.call),
		zap.Duration("Age", now.Sub(recent.at)), zap.Int32("Free", recent.capacity.busy.until[0]), zap.Int("Slots", recent.capacity.slots),
		zap.Int("Demands", len(d.demands)), zap.Duration("Outstanding", totalCost(d.demands)),
		zap.Duration("Headroom", d.standing.headroom()), zap.Bool("Short", d.standing.short), zap.Duration("Share", d.standing.level),
		zap.Duration("Used", d.standing.used), zap.Bool("Starving", d.standing.starving), zap.Duration("Wait", d.wait),
	}
}

// logRefusal logs a refused reservation with the inputs of the decision.
func (b *Batcher) logRefusal(r Reservation, inputs ...zap.Field) {
	b.Log.Info("reservation refused", append([]zap.Field{zap.String("RequestID", r.RequestID), zap.Int("Stage", r.Stage), zap.String("Service", r.Service),
		zap.String("Workspace", r.Workspace), zap.Int("Rank", r.Rank), zap.Int("Pieces", r.Pieces)}, inputs...)...)
}

// totalCost returns the cost of all demands.
func totalCost(demands []demand) time.Duration {
	total := time.Duration(0)
	for i := range demands {
		total += demands[i].cost
	}
	return total
}

// waitingPieces returns the number of pieces that wait for a call.
func (q *queue) waitingPieces() int {
	n := 0
	for _, j := range q.jobs {
		n += len(j.waiting)
	}
	return n
}

// demands returns the waiting jobs and the reservations as demands; call is the time of
// a call formed now. The result is valid until the next call and has room for one more.
func (q *queue) demands(c capacity, call time.Duration, now time.Time) []demand {
	out := q.demandBuffer[:0]
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			out = append(out, demand{end: j.promise.Sub(now) - call, cost: c.cost(len(j.waiting), j.PieceBytes)})
		}
	}
	since := now.Sub(q.epoch)
	for _, r := range q.reserved {
		out = append(out, r.demand(c, call, since))
	}
	q.demandBuffer = append(out, demand{})
	return q.demandBuffer[:len(out)]
}

// demand returns the capacity that r still needs. now counts from the queue's epoch.
func (r *reservation) demand(c capacity, call, now time.Duration) demand {
	return demand{start: r.start - now, end: r.end - now - call, cost: c.cost(r.Pieces, r.PieceBytes)}
}
