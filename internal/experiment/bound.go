package experiment

import (
	"container/heap"
	"sort"
	"time"
)

// BoundRule is the order in which the bound serves its queues.
type BoundRule struct {
	// ShortestFirst orders short work by service time; without it, the order is
	// by deadline.
	ShortestFirst bool
	// LongShare is the share of the engines' slots that long work may occupy.
	LongShare float64
}

// longShares are the shares of slots for long work that the bound tries.
var longShares = []float64{0.1, 0.2, 0.3, 0.5, 0.8}

// boundRules returns the rules of which the bound takes the best for each
// measure.
func boundRules() []BoundRule {
	var out []BoundRule
	for _, share := range longShares {
		out = append(out, BoundRule{LongShare: share}, BoundRule{ShortestFirst: true, LongShare: share})
	}
	return out
}

// Bound simulates an omniscient scheduler without a network: one queue for each
// pool, which knows every service time and every target's present and future
// speed.
func Bound(s *Site, l *Load, requests []Request, rule BoundRule) []Sample {
	b := &boundSimulation{site: s, load: l, rule: rule, requests: requests, samples: make([]Sample, len(requests)), pools: map[string]*boundPool{}}
	for _, t := range s.Targets {
		p := b.pools[t.Pool]
		if p == nil {
			p = &boundPool{}
			b.pools[t.Pool] = p
		}
		for range t.Slots {
			p.slots = append(p.slots, &boundSlot{target: t})
		}
	}
	for i := range requests {
		heap.Push(&b.events, boundEvent{at: requests[i].At, request: i})
	}
	for b.events.Len() > 0 {
		e := heap.Pop(&b.events).(boundEvent)
		b.handleEvent(e)
	}
	return b.samples
}

// boundSimulation is the state of one discrete-event simulation by Bound.
type boundSimulation struct {
	site     *Site
	load     *Load
	rule     BoundRule
	requests []Request
	samples  []Sample
	pools    map[string]*boundPool
	events   boundEvents
}

type boundPool struct {
	slots       []*boundSlot
	waiting     []boundJob
	longRunning int
}

type boundSlot struct {
	target TargetSpec
	freeAt time.Duration
	busy   bool
}

// boundJob is one stage of a request, both by index.
type boundJob struct{ request, stage int }

// boundEvent is the arrival of a request at a stage. Unless it is the first
// stage, slot is the one that ran the stage before.
type boundEvent struct {
	at      time.Duration
	request int
	stage   int
	slot    *boundSlot
	pool    *boundPool
	long    bool
}

// boundEvents is a heap of events ordered by time; it implements
// heap.Interface.
type boundEvents []boundEvent

// Len returns the number of events.
func (e boundEvents) Len() int { return len(e) }

// Less reports whether event i is earlier than event j.
func (e boundEvents) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap swaps events i and j.
func (e boundEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds a boundEvent at the end.
func (e *boundEvents) Push(x any) { *e = append(*e, x.(boundEvent)) }

// Pop removes and returns the last event.
func (e *boundEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (b *boundSimulation) pipeline(request int) *PipelineSpec {
	return &b.site.Pipelines[b.requests[request].Pipeline]
}

func (b *boundSimulation) deadline(request int) time.Duration {
	return b.requests[request].At + b.pipeline(request).Deadline
}

// handleEvent frees the slot of the previous stage and queues the next stage.
func (b *boundSimulation) handleEvent(e boundEvent) {
	if e.slot != nil {
		e.slot.busy = false
		if e.long {
			e.pool.longRunning--
		}
		b.dispatch(e.pool, e.at)
	}
	stages := b.pipeline(e.request).Stages
	if e.stage == len(stages) {
		b.finish(e.request, e.at)
		return
	}
	p := b.pools[stages[e.stage].Pool]
	j := boundJob{e.request, e.stage}
	i := sort.Search(len(p.waiting), func(i int) bool { return b.runsBefore(j, p.waiting[i]) })
	p.waiting = append(p.waiting, boundJob{})
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = j
	b.dispatch(p, e.at)
}

func (b *boundSimulation) finish(request int, at time.Duration) {
	q := &b.requests[request]
	b.samples[request] = Sample{Request: q, OK: true, Took: at - q.At, OnTime: at <= b.deadline(request)}
}

func (b *boundSimulation) runsBefore(x, y boundJob) bool {
	lx, ly := b.pipeline(x.request).Long, b.pipeline(y.request).Long
	if lx != ly {
		return !lx
	}
	if lx {
		return b.deadline(x.request) < b.deadline(y.request)
	}
	if b.rule.ShortestFirst {
		return b.requests[x.request].Service[x.stage] < b.requests[y.request].Service[y.stage]
	}
	return b.deadline(x.request) < b.deadline(y.request)
}

// dispatch starts the waiting jobs that it can and refuses those that cannot
// meet their deadline.
func (b *boundSimulation) dispatch(p *boundPool, now time.Duration) {
	rest := p.waiting[:0]
	sort.SliceStable(p.waiting, func(x, y int) bool {
		return b.isUrgent(p.waiting[x], now) && !b.isUrgent(p.waiting[y], now)
	})
	for i, j := range p.waiting {
		if !hasFreeSlot(p) {
			rest = append(rest, p.waiting[i:]...)
			break
		}
		if b.cannotMeetDeadline(j, p, now) {
			b.samples[j.request] = Sample{Request: &b.requests[j.request], Refused: true}
			continue
		}
		if !b.start(j, p, now) {
			rest = append(rest, j)
		}
	}
	p.waiting = rest
}

// urgentTimeLeft is the remaining time below which the bound starts long work
// before short, and urgentLongShare the share of slots that long work may then
// occupy.
const (
	urgentTimeLeft  = 17 * time.Second
	urgentLongShare = 0.8
)

// isUrgent reports whether j is long and has little time left.
func (b *boundSimulation) isUrgent(j boundJob, now time.Duration) bool {
	return b.pipeline(j.request).Long && b.deadline(j.request)-now < urgentTimeLeft
}

func hasFreeSlot(p *boundPool) bool {
	for _, s := range p.slots {
		if !s.busy {
			return true
		}
	}
	return false
}

// endTime returns when j ends if it starts on s now.
func (b *boundSimulation) endTime(j boundJob, s *boundSlot, now time.Duration) time.Duration {
	left := float64(b.requests[j.request].Service[j.stage])
	at := now
	for {
		speed := s.target.Speed / b.load.slowdown(s.target.Name, at)
		done := at + time.Duration(left/speed)
		change, ok := b.load.nextSlowdownChange(s.target.Name, at)
		if !ok || change >= done {
			return done
		}
		left -= float64(change-at) * speed
		at = change
	}
}

// nextSlowdownChange returns the next time after at when the slowdown of a
// target changes.
func (l *Load) nextSlowdownChange(target string, at time.Duration) (time.Duration, bool) {
	next, ok := time.Duration(0), false
	for _, d := range l.Slowdowns {
		for _, t := range []time.Duration{d.From, d.To} {
			if d.Target == target && t > at && (!ok || t < next) {
				next, ok = t, true
			}
		}
	}
	return next, ok
}

// cannotMeetDeadline reports whether j would be late even if it started now on
// the target that ends it first.
func (b *boundSimulation) cannotMeetDeadline(j boundJob, p *boundPool, now time.Duration) bool {
	best := time.Duration(1<<63 - 1)
	for _, s := range p.slots {
		best = min(best, b.endTime(j, s, now))
	}
	return best > b.deadline(j.request)
}

// start starts j on the preferred free slot. It returns false if j has to wait,
// for its share of slots or for a better slot that is still busy.
func (b *boundSimulation) start(j boundJob, p *boundPool, now time.Duration) bool {
	long := b.pipeline(j.request).Long && b.site.EnginePool == b.pipeline(j.request).Stages[j.stage].Pool
	share := b.rule.LongShare
	if b.isUrgent(j, now) {
		share = urgentLongShare
	}
	if long && float64(p.longRunning+1) > share*float64(len(p.slots)) {
		return false
	}
	var best *boundSlot
	for _, s := range p.slots {
		if !s.busy && (best == nil || b.prefersSlot(j, s, best, now, long)) {
			best = s
		}
	}
	end := b.endTime(j, best, now)
	if b.shouldWait(j, p, now, end) {
		return false
	}
	best.busy, best.freeAt = true, end
	if long {
		p.longRunning++
	}
	heap.Push(&b.events, boundEvent{at: end, request: j.request, stage: j.stage + 1, slot: best, pool: p, long: long})
	return true
}

// prefersSlot reports whether j should run on x rather than y: short work where
// it ends first, long work on the slowest target that ends it within half of
// the time left.
func (b *boundSimulation) prefersSlot(j boundJob, x, y *boundSlot, now time.Duration, long bool) bool {
	ex, ey := b.endTime(j, x, now), b.endTime(j, y, now)
	if long {
		left := (b.deadline(j.request) - now) / 2
		if (ex-now < left) != (ey-now < left) {
			return ex-now < left
		}
		if ex-now < left {
			return ex > ey
		}
	}
	return ex < ey
}

// shouldWait reports whether j should stay queued: long work if it would end
// late, short work if it would end much sooner on a slot that is still busy.
func (b *boundSimulation) shouldWait(j boundJob, p *boundPool, now, end time.Duration) bool {
	if b.pipeline(j.request).Long {
		return end > b.deadline(j.request)
	}
	for _, s := range p.slots {
		if s.busy && s.freeAt < end && b.endTime(j, s, s.freeAt) < end {
			// Waiting is worthwhile only if the free target is slowed, taking more
			// than twice as long.
			return end-now > 2*(b.endTime(j, s, s.freeAt)-now)
		}
	}
	return false
}
