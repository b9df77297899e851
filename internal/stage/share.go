package stage

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// The shares in this file are for pools that are short while a few workspaces ask for most
// of their capacity, for example by retrying at once. The capacity is shared by max-min
// fairness, measured by cost. A pool that has enough for all is not shared.

const (
	// headroomStep is the capacity, in time of all targets, that a request must leave free
	// in a short pool for those with a better claim. It covers what small workspaces ask
	// for until the pool has completed more work.
	headroomStep = 150 * time.Millisecond
	// starvingRatio is the part of the rate of all requests below which a class of them
	// is starving. It is above the quarter that every class must be served, as a margin.
	starvingRatio = 0.35
	// shareInterval is the time between two computations of the shares. shortLifetime is
	// the time for which a pool counts as short after the last sign of it, so that the
	// order of jobs doesn't change with each call.
	shareInterval = 100 * time.Millisecond
	shortLifetime = time.Second
	// shareLogInterval is the time between two log lines on a short pool.
	shareLogInterval = time.Second
	// noLevel is the share while the pool has enough for all.
	noLevel = time.Duration(math.MaxInt64)
)

// classKind is a property of requests of which no value may starve.
type classKind int8

const (
	workspaceClass classKind = iota
	routeClass
	rankClass
	sizeClass
)

// class is a set of requests that have a property in common.
type class struct {
	kind classKind
	name string
	n    int
}

// classes returns the classes of r. Sizes are alike within a factor of two.
func (r *Reservation) classes() [4]class {
	return [4]class{
		{kind: workspaceClass, name: r.Workspace},
		{kind: routeClass, name: r.Route},
		{kind: rankClass, n: r.Rank},
		{kind: sizeClass, n: bits.Len(uint(r.Pieces))},
	}
}

// fairLevel returns the share by max-min fairness with equal weights: the greatest level
// for which no more than total is given if each gets what it asked for, up to that level.
// It is noLevel if total suffices for all. It sorts asked.
func fairLevel(asked []time.Duration, total time.Duration) time.Duration {
	slices.Sort(asked)
	for i, a := range asked {
		equal := total / time.Duration(len(asked)-i)
		if a > equal {
			return equal
		}
		total -= a
	}
	return noLevel
}

// standing holds what determines the headroom that a request must leave in a pool.
type standing struct {
	// short reports whether the pool is short.
	short bool
	// level is the share of each workspace in tallyWindow, used what the request's
	// workspace was granted in it, cost that of the request.
	level, used, cost time.Duration
	// starving reports whether a class of the request is served far less than others.
	starving bool
	// lessUrgent reports whether there are more urgent requests.
	lessUrgent bool
}

// over reports whether the request goes beyond the share of its workspace.
func (s standing) over() bool { return s.short && s.used > s.level-s.cost }

// headroom returns the capacity that must stay free for others if the request is granted.
// A workspace beyond its share has no claim to the minimum of its classes, or it could
// raise what it gets by asking more often.
func (s standing) headroom() time.Duration {
	if !s.short || s.starving && !s.over() {
		return 0
	}
	if s.lessUrgent {
		return s.shareHeadroom() + headroomStep
	}
	return s.shareHeadroom()
}

// shareHeadroom returns the part of headroom that goes beyond the share of the workspace.
func (s standing) shareHeadroom() time.Duration {
	if s.over() {
		return 2 * headroomStep
	}
	return 0
}

// shares is what a queue keeps to share its capacity among workspaces.
type shares struct {
	tallies map[class]*tally
	// all sums the costs of all requests; the buckets count from origin.
	all    tally
	origin time.Time
	// computedAt, shortAt and loggedAt are the times of the last computation, of the last
	// sign that the pool is short, and of the last log line.
	computedAt, shortAt, loggedAt time.Time
	level                         time.Duration
	// over holds the workspaces beyond their share while the pool is short.
	over map[string]bool
	// mostUrgent is the lowest rank that was asked for in the window.
	mostUrgent int
}

// bucketAt returns the number of the bucket of now.
func (s *shares) bucketAt(now time.Time) int64 {
	if s.origin.IsZero() {
		s.origin = now
	}
	return int64(now.Sub(s.origin) / tallyBucketTime)
}

// isShort reports whether the pool was short lately.
func (s *shares) isShort(now time.Time) bool {
	return !s.shortAt.IsZero() && now.Sub(s.shortAt) < shortLifetime
}

// charge is the cost with which a granted request was counted, and the bucket in which.
type charge struct {
	bucket int64
	cost   time.Duration
}

// record counts a request that was granted or refused. If it was granted, the charge can
// be refunded once.
func (s *shares) record(r *Reservation, cost time.Duration, granted bool, now time.Time) *charge {
	bucket := s.bucketAt(now)
	s.all.add(bucket, cost, granted)
	if s.tallies == nil {
		s.tallies = map[class]*tally{}
	}
	for _, c := range r.classes() {
		t := s.tallies[c]
		if t == nil {
			t = &tally{bucket: bucket}
			s.tallies[c] = t
		}
		t.add(bucket, cost, granted)
	}
	if !granted {
		return nil
	}
	return &charge{bucket, cost}
}

// refund takes back c, with which r was counted as granted.
func (s *shares) refund(r *Reservation, c *charge, now time.Time) {
	bucket := s.bucketAt(now)
	s.all.refund(bucket, c.bucket, c.cost)
	for _, class := range r.classes() {
		if t := s.tallies[class]; t != nil {
			t.refund(bucket, c.bucket, c.cost)
		}
	}
}

// standing returns the standing of r, which has the given cost.
func (s *shares) standing(r *Reservation, cost time.Duration, now time.Time) standing {
	out := standing{short: s.isShort(now), level: s.level, cost: cost, lessUrgent: r.Rank > s.mostUrgent}
	if !out.short {
		return out
	}
	bucket := s.bucketAt(now)
	asked, granted := s.all.sums(bucket)
	for _, c := range r.classes() {
		t := s.tallies[c]
		if t == nil {
			continue
		}
		a, g := t.sums(bucket)
		if c.kind == workspaceClass {
			out.used = g
		}
		if float64(g)*float64(asked) < starvingRatio*float64(granted)*float64(a) {
			out.starving = true
		}
	}
	return out
}

// compute computes the level and the workspaces beyond it, and forgets classes of which
// nothing was asked in the window.
func (s *shares) compute(short bool, now time.Time) {
	s.computedAt = now
	if short {
		s.shortAt = now
	}
	bucket := s.bucketAt(now)
	var asked []time.Duration
	s.mostUrgent = math.MaxInt
	for c, t := range s.tallies {
		a, _ := t.sums(bucket)
		switch {
		case a == 0:
			delete(s.tallies, c)
		case c.kind == workspaceClass:
			asked = append(asked, a)
		case c.kind == rankClass:
			s.mostUrgent = min(s.mostUrgent, c.n)
		}
	}
	// A pool that was first asked a moment ago has not had the capacity of a whole window.
	window := min(tallyWindow, now.Sub(s.origin)+shareInterval)
	s.level = fairLevel(asked, time.Duration(usableShare*float64(window)))
	clear(s.over)
	if !s.isShort(now) {
		return
	}
	if s.over == nil {
		s.over = map[string]bool{}
	}
	for c, t := range s.tallies {
		if _, granted := t.sums(bucket); c.kind == workspaceClass && granted > s.level {
			s.over[c.name] = true
		}
	}
}

// refreshShares computes the shares of q anew if they are old. The pool is short if not
// all waiting and reserved work can be on time.
func (b *Batcher) refreshShares(q *queue, c capacity, call time.Duration, now time.Time) {
	if now.Sub(q.shares.computedAt) < shareInterval {
		return
	}
	dues := q.dueDemands(c, call, now)
	q.shares.compute(q.calendar.lateness(dues, &c.busy, 0) > 0, now)
	b.reportShares(q, now)
}

// dueDemands is like demands, but the ends of its demands are the times at which their
// results begin to lose worth.
func (q *queue) dueDemands(c capacity, call time.Duration, now time.Time) []demand {
	out := q.demandBuffer[:0]
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			out = append(out, demand{end: j.due.Sub(now) - call, cost: c.cost(len(j.waiting), j.PieceBytes)})
		}
	}
	since := now.Sub(q.epoch)
	for _, r := range q.reserved {
		d := r.demand(c, call, since)
		d.end = r.due - since - call
		out = append(out, d)
	}
	q.demandBuffer = out
	return out
}

// reportShares sets the metrics of the shares of q, and logs them once in
// shareLogInterval while the pool is short.
func (b *Batcher) reportShares(q *queue, now time.Time) {
	s := &q.shares
	short := s.isShort(now)
	if b.Metrics != nil {
		b.setGauge("Shares.Short."+q.service, boolGauge(short))
	}
	if !short || now.Sub(s.loggedAt) < shareLogInterval {
		return
	}
	s.loggedAt = now
	bucket := s.bucketAt(now)
	for c, t := range s.tallies {
		if c.kind != workspaceClass {
			continue
		}
		asked, granted := t.sums(bucket)
		b.setGauge("Shares.Used."+q.service+"."+c.name, int64(granted))
		b.Log.Info("share of a short pool", zap.String("Service", q.service), zap.String("Workspace", c.name), zap.Duration("Asked", asked),
			zap.Duration("Used", granted), zap.Duration("Share", s.level), zap.Bool("Over", s.over[c.name]))
	}
}

// setGauge sets a gauge of the batcher's metrics, if it has any.
func (b *Batcher) setGauge(name string, value int64) {
	if b.Metrics != nil {
		metrics.GetOrRegisterGauge(name, b.Metrics).Update(value)
	}
}

// boolGauge returns the value of a gauge that is 1 while a condition holds.
func boolGauge(holds bool) int64 {
	if holds {
		return 1
	}
	return 0
}
