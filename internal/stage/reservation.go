package stage

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Reservation asks the batcher of a service for the capacity that one stage of a
// request will need. Its times are remaining ones as of the time of sending.
type Reservation struct {
	// ID is unique across all hosts; the Job that takes up the reservation names it.
	ID        string
	RequestID string
	Service   string
	Stage     int
	Pieces    int
	// PieceBytes is the approximate size of one result.
	PieceBytes int64
	Workspace  string
	Route      string
	// Rank and Worth are those of the job.
	Rank  int
	Worth float64
	// Start is the time until the job is expected, Due that until its results lose
	// worth, End that until they must be there for the request to be served. A reservation
	// whose job has not come by End expires.
	Start, Due, End time.Duration
}

// Answer is the answer to a Reservation.
type Answer struct {
	Granted bool
	// Forecast is the outlook for a reservation that was recorded without a decision.
	Forecast Outlook
	// Wait is the time after which a refused reservation could be granted if nothing
	// else was asked for. Spread is the time after that over which capacity comes free
	// for what was refused.
	Wait, Spread time.Duration
}

// ReserveArgs are reservations of one request at one holder. All of them are granted or
// recorded, or none.
type ReserveArgs struct {
	Host string
	// Record asks to record the reservations without a decision, which the host makes by
	// the forecasts in the answers. It gives back those of a request that it refuses.
	Record       bool
	Reservations []Reservation
}

// ReserveReply holds the answers, in the order of the reservations, and the wait
// estimates of their services.
type ReserveReply struct {
	Answers  []Answer
	Outlooks map[string]Outlook
}

// ReleaseArgs name reservations whose jobs will not come.
type ReleaseArgs struct {
	Host string
	IDs  []string
}

// Bounds and times of reservations.
const (
	// silentLifetime is the time after which the reservations of a host that sends no
	// heartbeat are dropped.
	silentLifetime = 1500 * time.Millisecond
	// listLag is the age from which a reservation that is missing in its host's
	// heartbeat is dropped. A younger one may be missing because the heartbeat was sent
	// before the host had the answer.
	listLag = 500 * time.Millisecond
	// wakeGap is the time between two sweeps from which this host counts as having been
	// frozen. It then can't know which hosts were silent.
	wakeGap = 500 * time.Millisecond
	// maxReservations bounds the reservations of all hosts at one batcher, maxPerCall
	// those of one call.
	maxReservations = 1 << 14
	maxPerCall      = 64
	// noTargetWait is the wait at a pool without targets.
	noTargetWait = time.Second
	// returnFactor is the ratio of the time over which capacity comes free after a load
	// peak to the time that the refused work takes of all targets: pools are half busy
	// outside of peaks.
	returnFactor = 2
)

// reservation is a Reservation that has been granted or recorded.
type reservation struct {
	Reservation
	host      string
	grantedAt time.Time
	// start, due and end are the times at which Start, Due and End end. They count from the
	// queue's epoch, so that a decision, which looks at those of all reservations, only
	// subtracts durations.
	start, due, end time.Duration
	// charge was counted as use of the workspace's share. It is nil for a reservation that
	// a heartbeat of its host listed: the batcher that granted it has counted it.
	charge *charge
	// forecast is the answer to the call that recorded it.
	forecast Outlook
	// index is the position in the queue's reserved.
	index int
}

// valid reports whether a host of this version can have sent r.
func (r *Reservation) valid() bool {
	return r.ID != "" && r.Pieces >= 1 && r.Pieces <= maxPieces && r.PieceBytes >= 0 && r.Start >= 0 && r.Start <= maxStart
}

// maxStart bounds the time until the job of a reservation is expected.
const maxStart = time.Hour

// reserve decides on the reservations of one request and returns the answers.
func (b *Batcher) reserve(a ReserveArgs, remote bool) (ReserveReply, error) {
	if len(a.Reservations) > maxPerCall {
		return ReserveReply{}, Error.New("%d reservations in one call, at most %d are allowed", len(a.Reservations), maxPerCall)
	}
	for i := range a.Reservations {
		if !a.Reservations[i].valid() {
			return ReserveReply{}, Error.New("invalid reservation of stage %d of request %s", a.Reservations[i].Stage, a.Reservations[i].RequestID)
		}
	}
	reply, retired := ReserveReply{}, false
	err := b.do(func() {
		if retired = b.retired && remote; !retired {
			reply = b.reserveAll(a)
		}
	})
	if retired {
		err = errRetired
	}
	return reply, err
}

// reserveAll grants all reservations of a or none.
func (b *Batcher) reserveAll(a ReserveArgs) ReserveReply {
	now := b.Clock.Now()
	b.heard[a.Host] = now
	reply := ReserveReply{Answers: make([]Answer, len(a.Reservations)), Outlooks: map[string]Outlook{}}
	all := true
	for i, r := range a.Reservations {
		if a.Record {
			reply.Answers[i] = b.record(a.Host, r, now)
		} else {
			reply.Answers[i] = b.decide(a.Host, r, now)
		}
		all = all && reply.Answers[i].Granted
	}
	for i, r := range a.Reservations {
		if !all && reply.Answers[i].Granted {
			b.giveBack(r.ID, now)
			b.count("GivenBack")
		}
		if _, ok := reply.Outlooks[r.Service]; !ok {
			reply.Outlooks[r.Service] = b.queue(r.Service).recent.outlook
		}
	}
	return reply
}

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
	charge := q.shares.record(&r, d.asked.cost, d.granted, now)
	if d.granted {
		b.addReservation(host, r, now).charge = charge
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

// addReservation adds r as granted to host or recorded for it, and returns it.
func (b *Batcher) addReservation(host string, r Reservation, now time.Time) *reservation {
	q := b.queue(r.Service)
	since := now.Sub(q.epoch)
	granted := &reservation{Reservation: r, host: host, grantedAt: now, start: since + r.Start, due: since + r.Due, end: since + r.End, index: len(q.reserved)}
	b.reservations[r.ID] = granted
	q.reserved = append(q.reserved, granted)
	return granted
}

// giveBack removes the reservation with the given ID, if there is one. It does not count
// as use of its workspace's share any more, since another pool may have refused the request.
func (b *Batcher) giveBack(id string, now time.Time) {
	r := b.reservations[id]
	if r == nil {
		return
	}
	if r.charge != nil {
		b.queue(r.Service).shares.refund(&r.Reservation, r.charge, now)
	}
	b.removeReservation(id)
}

// removeReservation removes the reservation with the given ID, if there is one.
func (b *Batcher) removeReservation(id string) {
	r := b.reservations[id]
	if r == nil {
		return
	}
	delete(b.reservations, id)
	q := b.queue(r.Service)
	last := len(q.reserved) - 1
	q.reserved[r.index] = q.reserved[last]
	q.reserved[r.index].index = r.index
	q.reserved[last] = nil
	q.reserved = q.reserved[:last]
}

// takeUp ends the reservation that j takes up and sets the time by which j was promised
// its results. The promise holds also if this batcher doesn't know the reservation: a
// former one granted it, or its host was silent for a while.
func (b *Batcher) takeUp(j *job, now time.Time) {
	j.promise = j.deadline
	b.removeReservation(j.Reservation)
	if !j.Promised {
		return
	}
	if end := now.Add(j.Promise); end.Before(j.deadline) {
		j.promise = end
	}
}

// release removes reservations whose jobs will not come.
func (b *Batcher) release(a ReleaseArgs) error {
	return b.do(func() {
		now := b.Clock.Now()
		for _, id := range a.IDs {
			if r := b.reservations[id]; r != nil && r.host == a.Host {
				b.giveBack(id, now)
				b.count("GivenBack")
			}
		}
	})
}

// syncReservations takes over the list of its open reservations that a host sends with
// its heartbeats. What a former batcher granted is added without a decision, since it is
// promised; what the host no longer lists was given back by a message that was lost.
func (b *Batcher) syncReservations(s SignOfLife, now time.Time) {
	if !s.Reserves {
		return
	}
	b.heard[s.Host] = now
	listed := make(map[string]bool, len(s.Reservations))
	for _, r := range s.Reservations {
		listed[r.ID] = true
		if b.reservations[r.ID] == nil && r.valid() && len(b.reservations) < maxReservations {
			b.addReservation(s.Host, r, now)
			b.count("Rebuilt")
		}
	}
	for id, r := range b.reservations {
		if r.host == s.Host && !listed[id] && now.Sub(r.grantedAt) > listLag {
			b.giveBack(id, now)
			b.count("GivenBack")
		}
	}
}

// expireReservations removes the reservations whose time is over and those of silent
// hosts.
func (b *Batcher) expireReservations(now time.Time) {
	if gap := now.Sub(b.lastSweep); gap > wakeGap {
		for host, at := range b.heard {
			b.heard[host] = at.Add(gap)
		}
	}
	b.lastSweep = now
	dropped := map[string]int{}
	for id, r := range b.reservations {
		switch {
		case now.Sub(b.heard[r.host]) > silentLifetime:
			dropped[r.host]++
			b.removeReservation(id)
			b.count("Dropped")
		case r.end <= now.Sub(b.queue(r.Service).epoch):
			b.Log.Info("reservation expired", zap.String("RequestID", r.RequestID), zap.Int("Stage", r.Stage), zap.String("Service", r.Service), zap.String("Host", r.host))
			b.removeReservation(id)
			b.count("Expired")
		}
	}
	for host, n := range dropped {
		b.Log.Info("reservations of a silent host dropped", zap.String("Host", host), zap.Int("Reservations", n))
	}
	for host, at := range b.heard {
		if now.Sub(at) > silentLifetime {
			delete(b.heard, host)
		}
	}
}

// count counts an event of reservations.
func (b *Batcher) count(event string) {
	if b.Metrics != nil {
		metrics.GetOrRegisterCounter("Reservations."+event, b.Metrics).Inc(1)
	}
}
