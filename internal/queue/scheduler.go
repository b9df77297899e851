package queue

import (
	"math"
	"sort"
	"sync"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Parameters of a board.
const (
	// maxWaiting bounds the tickets of one class on a board.
	maxWaiting = 4096
	// maxEnded bounds the attempts that are remembered as given up.
	maxAbandoned = 4096
	// longFactor is how many times the typical work of the pool makes a ticket
	// long.
	longFactor = 8
	// longShare is the share of a board's slots that long work may hold when it
	// has just come; it grows to urgentShare as its time runs out.
	initialLongShare = 0.12
	urgentLongShare  = 0.75
	// swing is by how many times the level of short work may rise while long
	// work runs; levelFall is the time in which a level is forgotten.
	shortGrowthFactor = 3
	shortPeakDecay    = 30 * time.Second
	// urgentFactor is the time left, in multiples of the predicted time, at
	// which long work goes among the short.
	urgentFactor = 4
	// leaseTimeout is how long a lease lasts without a word from its owner.
	leaseTimeout = 3 * time.Second
	// reportGrace is the age below which a lease may be missing from its
	// owner's list, because the grant was still under way.
	reportGrace = time.Second
)

// ticket is a waiting Ask.
type ticket struct {
	request   SlotRequest
	owner     string
	key       workKey
	work      float64 // predicted seconds at speed one
	long      bool
	overShare bool // beyond its workspace's share
	enqueued  time.Time
	// deliver gets the decision, exactly once; it must not block.
	deliver func(decision)
}

// decision is the end of a ticket: a target or a refusal.
type decision struct {
	target     string
	expected   time.Duration
	long       bool
	nextWait   time.Duration // predicted for the next ticket like this one
	overShare  bool
	code       result.Code
	retryAfter time.Duration
	message    string
}

// board orders waiting tickets and grants the slots of a set of targets.
type scheduler struct {
	pool string

	mu          sync.Mutex
	targets     []*trackedTarget
	byName      map[string]*trackedTarget
	leases      map[string]*lease
	grantCount  int
	shortPeak   float64 // slots that short work used lately
	shortPeakAt time.Time
	shortQueue  []*ticket
	longQueue   []*ticket
	abandoned   *lru.Cache[string, bool] // attempts given up, perhaps before they were asked for
	predictor   predictor
	shares      shareBuckets
}

func newScheduler(pool string) *scheduler {
	ended, _ := lru.New[string, bool](maxAbandoned) // fails only for a size below one
	return &scheduler{pool: pool, byName: map[string]*trackedTarget{}, leases: map[string]*lease{}, abandoned: ended}
}

// slotCount is how many slots of a target a board may grant.
type targetSlots struct {
	target *declaration.Target
	slots  int
}

// update sets the targets. What was observed of those that stay is kept.
func (b *scheduler) update(list []targetSlots) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byName := make(map[string]*trackedTarget, len(list))
	b.targets = b.targets[:0]
	for _, c := range list {
		s := b.byName[c.target.Name]
		if s == nil {
			s = &trackedTarget{leases: map[string]*lease{}, speedRatio: 1}
		}
		s.target, s.slots = c.target, c.slots
		byName[c.target.Name] = s
		b.targets = append(b.targets, s)
	}
	b.byName = byName
}

// enqueue adds t and grants what can be granted. It may deliver a refusal.
func (b *scheduler) enqueue(t *ticket, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandoned.Contains(t.request.AttemptID) {
		t.deliver(decision{code: result.Overloaded, message: "given up"})
		return
	}
	t.enqueued = now
	t.key = workKeyOf(&t.request)
	t.work = math.Exp(b.predictor.estimate(t.key).mean)
	t.long = t.work > longFactor*math.Exp(b.predictor.typical(b.pool).mean)
	t.overShare = !b.shares.spend(&t.request, t.work, b.capacity(), now)
	if d, ok := b.refusal(t, now); ok {
		b.deliver(t, d, now)
		return
	}
	list := b.queueOf(t)
	i := sort.Search(len(*list), func(i int) bool { return before(t, (*list)[i]) })
	*list = append(*list, nil)
	copy((*list)[i+1:], (*list)[i:])
	(*list)[i] = t
	b.trim(list, now)
	b.schedule(now)
}

// deliver ends t with x and the outlook of the next short ticket that comes
// with as much time as t had.
func (b *scheduler) deliver(t *ticket, x decision, now time.Time) {
	if !t.long {
		next := *t
		next.request.Deadline = now.Add(t.request.Deadline.Sub(t.enqueued))
		x.nextWait = b.predictWait(&next, now)
	}
	x.overShare = t.overShare
	t.deliver(x)
}

func (b *scheduler) queueOf(t *ticket) *[]*ticket {
	if t.long {
		return &b.longQueue
	}
	return &b.shortQueue
}

// before orders the tickets of one class.
func before(x, y *ticket) bool {
	if x.request.Priority != y.request.Priority {
		return x.request.Priority > y.request.Priority
	}
	return x.request.Deadline.Before(y.request.Deadline)
}

// trim refuses the last ticket of a full list.
func (b *scheduler) trim(list *[]*ticket, now time.Time) {
	if len(*list) <= maxWaiting {
		return
	}
	last := (*list)[maxWaiting]
	*list = (*list)[:maxWaiting]
	b.deliver(last, decision{code: result.Overloaded, retryAfter: b.predictWait(last, now), message: "the queue is full"}, now)
}

// capacity is the predicted seconds of work that the targets do in a second.
func (b *scheduler) capacity() float64 {
	sum := 0.0
	for _, s := range b.targets {
		sum += s.speed() * float64(s.slots)
	}
	return sum
}

// wait predicts how long t would wait for a slot behind the tickets of its
// class that go before it.
func (b *scheduler) predictWait(t *ticket, now time.Time) time.Duration {
	ahead := 0.0
	for _, o := range *b.queueOf(t) {
		if before(t, o) {
			break
		}
		ahead += o.work
	}
	return seconds(ahead/math.Max(b.capacity(), minPositive)) + b.timeToFreeSlot(now)
}

// nextFree predicts the time until a slot is free.
func (b *scheduler) timeToFreeSlot(now time.Time) time.Duration {
	least := math.Inf(1)
	for _, s := range b.targets {
		if s.hasCapacity() {
			return 0
		}
		for _, l := range s.leases {
			least = math.Min(least, l.work/s.speed()-now.Sub(l.granted).Seconds())
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return seconds(math.Max(0, least))
}

// refusal says whether t can't be served in time.
func (b *scheduler) refusal(t *ticket, now time.Time) (decision, bool) {
	if !b.servable(t) {
		return decision{code: result.NoTarget, message: "no usable target in pool " + b.pool}, true
	}
	left := t.request.Deadline.Sub(now) - b.minRunTime(t)
	if left < 0 {
		return decision{code: result.DeadlineTooShort, message: "the stage takes longer than the time left"}, true
	}
	wait := b.predictWait(t, now)
	switch {
	case wait > left:
		return decision{code: result.Overloaded, retryAfter: wait - left, message: "the queue is longer than the time left"}, true
	case t.overShare && wait > left/2:
		return decision{code: result.OverShare, retryAfter: wait, message: "the workspace is beyond its share"}, true
	}
	return decision{}, false
}

// served reports whether any target may run t.
func (b *scheduler) servable(t *ticket) bool {
	for _, s := range b.targets {
		if eligible(s, t) {
			return true
		}
	}
	return false
}

func eligible(s *trackedTarget, t *ticket) bool {
	if t.request.Model != "" && !contains(s.target.Models, t.request.Model) {
		return false
	}
	return !contains(t.request.Exclude, s.target.Name)
}

// least is the predicted time of t on the fastest target.
func (b *scheduler) minRunTime(t *ticket) time.Duration {
	best := 0.0
	for _, s := range b.targets {
		if eligible(s, t) {
			best = math.Max(best, s.speed())
		}
	}
	return seconds(t.work / math.Max(best, minPositive))
}

// complete frees the slot of an attempt, or drops its ticket, and learns from
// the outcome.
func (b *scheduler) complete(id string, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.leases[id]; l != nil {
		b.free(l)
		b.learn(l, o)
	} else {
		// The ask may still be under way, on a link that was cut.
		b.abandoned.Add(id, true)
		b.shortQueue = dropTicket(b.shortQueue, id)
		b.longQueue = dropTicket(b.longQueue, id)
	}
	b.schedule(now)
}

func (b *scheduler) free(l *lease) {
	delete(b.leases, l.id)
	delete(l.target.leases, l.id)
}

// learn updates what is known of the target and of this kind of work.
func (b *scheduler) learn(l *lease, o Outcome) {
	switch o.Kind {
	case Failed, BrokeTarget:
		l.target.consecutiveFailures++
		return
	case Abandoned:
		return
	}
	l.target.consecutiveFailures = 0
	b.observe(l, o.Took.Seconds())
}

// witness learns from an attempt that another board granted.
func (b *scheduler) learnFromOther(target string, k workKey, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byName[target]; s != nil {
		b.observe(&lease{key: k, target: s, work: math.Exp(b.predictor.estimate(k).mean)}, took.Seconds())
	}
}

// observe takes in the time of a whole attempt.
func (b *scheduler) observe(l *lease, took float64) {
	if b.predictor.estimate(l.key).known() && !l.reclassified {
		l.target.observe(l.work, took)
	}
	if l.target.speedRatio >= slowedRatio {
		b.predictor.add(l.key, took*math.Exp(l.target.longTermSpeed))
	}
}

func dropTicket(list []*ticket, id string) []*ticket {
	for i, t := range list {
		if t.request.AttemptID == id {
			t.deliver(decision{code: result.Overloaded, message: "given up"})
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// tick refuses tickets that can no longer be served, drops leases whose owner
// fell silent and looks for slowed targets.
func (b *scheduler) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateShortPeak(now)
	for _, s := range b.targets {
		s.observeRunning(now)
	}
	for _, l := range b.leases {
		b.reclassify(l, now)
		if l.owner != "" && now.Sub(l.renewed) > leaseTimeout {
			b.free(l)
		}
	}
	b.shortQueue = b.expire(b.shortQueue, now)
	b.longQueue = b.expire(b.longQueue, now)
	b.schedule(now)
}

// reclass counts an attempt as long that has run for as long as long work
// does, and lets the next of its kind be taken for long too.
func (b *scheduler) reclassify(l *lease, now time.Time) {
	ran := now.Sub(l.granted).Seconds() * l.target.speed()
	if !l.long && ran > longFactor*math.Exp(b.predictor.typical(b.pool).mean) {
		l.long, l.reclassified = true, true
		b.predictor.raiseFloor(l.key, ran)
	}
}

func (b *scheduler) expire(list []*ticket, now time.Time) []*ticket {
	rest := list[:0]
	for _, t := range list {
		if t.request.Deadline.Sub(now) < b.minRunTime(t) {
			b.deliver(t, decision{code: result.Overloaded, message: "no slot came free in time"}, now)
			continue
		}
		rest = append(rest, t)
	}
	for i := len(rest); i < len(list); i++ {
		list[i] = nil
	}
	return rest
}
