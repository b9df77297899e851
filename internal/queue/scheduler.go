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

// Parameters of a scheduler.
const (
	// maxWaiting bounds each of a scheduler's two queues, short and long.
	maxWaiting = 4096
	// maxAbandoned bounds the remembered IDs of abandoned attempts.
	maxAbandoned = 4096
	// A ticket whose predicted work exceeds longFactor times the typical work of
	// the pool is long.
	longFactor = 8
	// initialLongShare is the share of the slots that long work may hold when a
	// ticket arrives; it grows to urgentLongShare as the ticket's time runs out.
	initialLongShare = 0.12
	urgentLongShare  = 0.75
	// shortGrowthFactor is how many times its recent peak short work may reach
	// while long work runs; shortPeakDecay is the time constant with which the
	// peak decays.
	shortGrowthFactor = 3
	shortPeakDecay    = 30 * time.Second
	// Long work is urgent, and is granted slots before short work, when it has
	// less than urgentFactor times its predicted run time left.
	urgentFactor = 4
	// leaseTimeout is how long a lease lasts without a message from its owner.
	leaseTimeout = 3 * time.Second
	// reportGrace is the age below which a lease may be missing from its
	// owner's list, because the grant may not have reached the owner yet.
	reportGrace = time.Second
)

// ticket is a queued SlotRequest.
type ticket struct {
	request   SlotRequest
	owner     string // the entry host, empty for this host
	key       workKey
	work      float64 // predicted seconds at speed one
	long      bool
	overShare bool // whether the workspace is beyond its share
	enqueued  time.Time
	// deliver is called exactly once, with the decision; it must not block.
	deliver func(decision)
}

// decision is the result of a ticket: a target, or a refusal if target is empty.
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

// scheduler queues tickets and grants them the slots of a set of targets.
type scheduler struct {
	pool string

	mu          sync.Mutex
	targets     []*trackedTarget
	byName      map[string]*trackedTarget
	leases      map[string]*lease
	grantCount  int
	shortPeak   float64 // short tickets and leases, as a decaying maximum
	shortPeakAt time.Time
	shortQueue  []*ticket
	longQueue   []*ticket
	abandoned   *lru.Cache[string, bool] // attempts that ended, perhaps before their request arrived
	predictor   predictor
	shares      shareBuckets
}

func newScheduler(pool string) *scheduler {
	abandoned, _ := lru.New[string, bool](maxAbandoned) // fails only for a size below one
	return &scheduler{pool: pool, byName: map[string]*trackedTarget{}, leases: map[string]*lease{}, abandoned: abandoned}
}

// targetSlots is the number of slots of a target that a scheduler may grant.
type targetSlots struct {
	target *declaration.Target
	slots  int
}

// update sets the targets. Observations of targets that stay are kept.
func (sched *scheduler) update(list []targetSlots) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	byName := make(map[string]*trackedTarget, len(list))
	sched.targets = sched.targets[:0]
	for _, c := range list {
		s := sched.byName[c.target.Name]
		if s == nil {
			s = &trackedTarget{leases: map[string]*lease{}, speedRatio: 1}
		}
		s.target, s.slots = c.target, c.slots
		byName[c.target.Name] = s
		sched.targets = append(sched.targets, s)
	}
	sched.byName = byName
}

// enqueue queues t, or refuses it at once, and grants free slots.
func (sched *scheduler) enqueue(t *ticket, now time.Time) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.abandoned.Contains(t.request.AttemptID) {
		t.deliver(decision{code: result.Overloaded, message: "the attempt was abandoned"})
		return
	}
	t.enqueued = now
	t.key = workKeyOf(&t.request)
	t.work = math.Exp(sched.predictor.estimate(t.key).mean)
	t.long = t.work > longFactor*math.Exp(sched.predictor.typical(sched.pool).mean)
	t.overShare = !sched.shares.spend(&t.request, t.work, sched.capacity(), now)
	if d, ok := sched.refusal(t, now); ok {
		sched.deliver(t, d, now)
		return
	}
	queue := sched.queueOf(t)
	i := sort.Search(len(*queue), func(i int) bool { return before(t, (*queue)[i]) })
	*queue = append(*queue, nil)
	copy((*queue)[i+1:], (*queue)[i:])
	(*queue)[i] = t
	sched.trim(queue, now)
	sched.schedule(now)
}

// deliver ends t with x. For a short ticket it adds the predicted wait of a next
// one that arrives now with as much time as t had.
func (sched *scheduler) deliver(t *ticket, x decision, now time.Time) {
	if !t.long {
		next := *t
		next.request.Deadline = now.Add(t.request.Deadline.Sub(t.enqueued))
		x.nextWait = sched.predictWait(&next, now)
	}
	x.overShare = t.overShare
	t.deliver(x)
}

func (sched *scheduler) queueOf(t *ticket) *[]*ticket {
	if t.long {
		return &sched.longQueue
	}
	return &sched.shortQueue
}

// before reports whether x precedes y in their queue: by priority, then by
// deadline.
func before(x, y *ticket) bool {
	if x.request.Priority != y.request.Priority {
		return x.request.Priority > y.request.Priority
	}
	return x.request.Deadline.Before(y.request.Deadline)
}

// trim refuses the last ticket of a queue that exceeds maxWaiting.
func (sched *scheduler) trim(queue *[]*ticket, now time.Time) {
	if len(*queue) <= maxWaiting {
		return
	}
	last := (*queue)[maxWaiting]
	*queue = (*queue)[:maxWaiting]
	sched.deliver(last, decision{code: result.Overloaded, retryAfter: sched.predictWait(last, now), message: "the queue is full"}, now)
}

// capacity returns how many predicted seconds of work the targets do in a second.
func (sched *scheduler) capacity() float64 {
	sum := 0.0
	for _, s := range sched.targets {
		sum += s.speed() * float64(s.slots)
	}
	return sum
}

// predictWait predicts how long t would wait for a slot behind the tickets that
// precede it in its queue.
func (sched *scheduler) predictWait(t *ticket, now time.Time) time.Duration {
	ahead := 0.0
	for _, o := range *sched.queueOf(t) {
		if before(t, o) {
			break
		}
		ahead += o.work
	}
	return seconds(ahead/math.Max(sched.capacity(), minPositive)) + sched.timeToFreeSlot(now)
}

// timeToFreeSlot predicts the time until any slot is free.
func (sched *scheduler) timeToFreeSlot(now time.Time) time.Duration {
	least := math.Inf(1)
	for _, s := range sched.targets {
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

// refusal returns a refusal and true if no target may run t, or t can't be served
// in time; the wait is limited further if the workspace is beyond its share.
func (sched *scheduler) refusal(t *ticket, now time.Time) (decision, bool) {
	if !sched.servable(t) {
		return decision{code: result.NoTarget, message: "no usable target in pool " + sched.pool}, true
	}
	left := t.request.Deadline.Sub(now) - sched.minRunTime(t)
	if left < 0 {
		return decision{code: result.DeadlineTooShort, message: "the predicted run time exceeds the time left"}, true
	}
	wait := sched.predictWait(t, now)
	switch {
	case wait > left:
		return decision{code: result.Overloaded, retryAfter: wait - left, message: "the predicted wait exceeds the time left"}, true
	case t.overShare && wait > left/2:
		return decision{code: result.OverShare, retryAfter: wait, message: "the workspace is beyond its share"}, true
	}
	return decision{}, false
}

// servable reports whether any target may run t.
func (sched *scheduler) servable(t *ticket) bool {
	for _, s := range sched.targets {
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

// minRunTime predicts the run time of t on the fastest eligible target.
func (sched *scheduler) minRunTime(t *ticket) time.Duration {
	best := 0.0
	for _, s := range sched.targets {
		if eligible(s, t) {
			best = math.Max(best, s.speed())
		}
	}
	return seconds(t.work / math.Max(best, minPositive))
}

// complete frees the slot of an attempt and learns from the outcome, or drops
// the attempt's ticket.
func (sched *scheduler) complete(id string, o Outcome, now time.Time) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if l := sched.leases[id]; l != nil {
		sched.free(l)
		sched.learn(l, o)
	} else {
		// The request may still arrive, over a link that was cut.
		sched.abandoned.Add(id, true)
		sched.shortQueue = dropTicket(sched.shortQueue, id)
		sched.longQueue = dropTicket(sched.longQueue, id)
	}
	sched.schedule(now)
}

func (sched *scheduler) free(l *lease) {
	delete(sched.leases, l.id)
	delete(l.target.leases, l.id)
}

// learn updates the observations of the target and of this kind of work.
func (sched *scheduler) learn(l *lease, o Outcome) {
	switch o.Kind {
	case Failed, BrokeTarget:
		l.target.consecutiveFailures++
		return
	case Abandoned:
		return
	}
	l.target.consecutiveFailures = 0
	sched.observe(l, o.Took.Seconds())
}

// learnFromOther learns from an attempt that another scheduler granted.
func (sched *scheduler) learnFromOther(target string, k workKey, took time.Duration) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if s := sched.byName[target]; s != nil {
		sched.observe(&lease{key: k, target: s, work: math.Exp(sched.predictor.estimate(k).mean)}, took.Seconds())
	}
}

// observe records the run time of a completed attempt, in seconds.
func (sched *scheduler) observe(l *lease, took float64) {
	if sched.predictor.estimate(l.key).known() && !l.reclassified {
		l.target.observe(l.work, took)
	}
	if l.target.speedRatio >= slowedRatio {
		sched.predictor.add(l.key, took*math.Exp(l.target.longTermSpeed))
	}
}

func dropTicket(queue []*ticket, id string) []*ticket {
	for i, t := range queue {
		if t.request.AttemptID == id {
			t.deliver(decision{code: result.Overloaded, message: "the attempt was abandoned"})
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}

// tick refuses tickets that can no longer meet their deadline, frees leases whose
// owner is silent and detects slowed targets.
func (sched *scheduler) tick(now time.Time) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.updateShortPeak(now)
	for _, s := range sched.targets {
		s.observeRunning(now)
	}
	for _, l := range sched.leases {
		sched.reclassify(l, now)
		if l.owner != "" && now.Sub(l.renewed) > leaseTimeout {
			sched.free(l)
		}
	}
	sched.shortQueue = sched.expire(sched.shortQueue, now)
	sched.longQueue = sched.expire(sched.longQueue, now)
	sched.schedule(now)
}

// reclassify marks an attempt as long once it has run for as long as long work
// does, and raises the estimate so that the next of its kind is long too.
func (sched *scheduler) reclassify(l *lease, now time.Time) {
	ran := now.Sub(l.granted).Seconds() * l.target.speed()
	if !l.long && ran > longFactor*math.Exp(sched.predictor.typical(sched.pool).mean) {
		l.long, l.reclassified = true, true
		sched.predictor.raiseFloor(l.key, ran)
	}
}

func (sched *scheduler) expire(queue []*ticket, now time.Time) []*ticket {
	rest := queue[:0]
	for _, t := range queue {
		if t.request.Deadline.Sub(now) < sched.minRunTime(t) {
			sched.deliver(t, decision{code: result.Overloaded, message: "no slot became free in time"}, now)
			continue
		}
		rest = append(rest, t)
	}
	for i := len(rest); i < len(queue); i++ {
		queue[i] = nil
	}
	return rest
}
