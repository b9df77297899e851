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
	maxEnded = 4096
	// longFactor is how many times the typical work of the pool makes a ticket
	// long.
	longFactor = 8
	// longShare is the share of a board's slots that long work may hold when it
	// has just come; it grows to urgentShare as its time runs out.
	longShare   = 0.12
	urgentShare = 0.75
	// swing is by how many times the level of short work may rise while long
	// work runs; levelFall is the time in which a level is forgotten.
	swing     = 3
	levelFall = 30 * time.Second
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
	ask   Ask
	owner string
	key   workKey
	work  float64 // predicted seconds at speed one
	long  bool
	over  bool // beyond its workspace's share
	since time.Time
	// deliver gets the decision, exactly once; it must not block.
	deliver func(decision)
}

// decision is the end of a ticket: a target or a refusal.
type decision struct {
	target  string
	expects time.Duration
	long    bool
	wait    time.Duration // predicted for the next ticket like this one
	over    bool
	code    result.Code
	retry   time.Duration
	message string
}

// board orders waiting tickets and grants the slots of a set of targets.
type board struct {
	pool string

	mu       sync.Mutex
	targets  []*slotState
	byName   map[string]*slotState
	leases   map[string]*lease
	grants   int
	level    float64 // slots that short work used lately
	followed time.Time
	short    []*ticket
	long     []*ticket
	ended    *lru.Cache[string, bool] // attempts given up, perhaps before they were asked for
	work     predictor
	shares   shares
}

func newBoard(pool string) *board {
	ended, _ := lru.New[string, bool](maxEnded) // fails only for a size below one
	return &board{pool: pool, byName: map[string]*slotState{}, leases: map[string]*lease{}, ended: ended}
}

// slotCount is how many slots of a target a board may grant.
type slotCount struct {
	target *declaration.Target
	slots  int
}

// update sets the targets. What was observed of those that stay is kept.
func (b *board) update(list []slotCount) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byName := make(map[string]*slotState, len(list))
	b.targets = b.targets[:0]
	for _, c := range list {
		s := b.byName[c.target.Name]
		if s == nil {
			s = &slotState{leases: map[string]*lease{}, ratio: 1}
		}
		s.target, s.slots = c.target, c.slots
		byName[c.target.Name] = s
		b.targets = append(b.targets, s)
	}
	b.byName = byName
}

// enqueue adds t and grants what can be granted. It may deliver a refusal.
func (b *board) enqueue(t *ticket, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended.Contains(t.ask.AttemptID) {
		t.deliver(decision{code: result.Overloaded, message: "given up"})
		return
	}
	t.since = now
	t.key = workKeyOf(&t.ask)
	t.work = math.Exp(b.work.estimate(t.key).mean)
	t.long = t.work > longFactor*math.Exp(b.work.typical(b.pool).mean)
	t.over = !b.shares.spend(&t.ask, t.work, b.capacity(), now)
	if d, ok := b.refusal(t, now); ok {
		b.deliver(t, d, now)
		return
	}
	list := b.list(t)
	i := sort.Search(len(*list), func(i int) bool { return before(t, (*list)[i]) })
	*list = append(*list, nil)
	copy((*list)[i+1:], (*list)[i:])
	(*list)[i] = t
	b.trim(list, now)
	b.schedule(now)
}

// deliver ends t with x and the outlook of the next short ticket that comes
// with as much time as t had.
func (b *board) deliver(t *ticket, x decision, now time.Time) {
	if !t.long {
		next := *t
		next.ask.Deadline = now.Add(t.ask.Deadline.Sub(t.since))
		x.wait = b.wait(&next, now)
	}
	x.over = t.over
	t.deliver(x)
}

func (b *board) list(t *ticket) *[]*ticket {
	if t.long {
		return &b.long
	}
	return &b.short
}

// before orders the tickets of one class.
func before(x, y *ticket) bool {
	if x.ask.Priority != y.ask.Priority {
		return x.ask.Priority > y.ask.Priority
	}
	return x.ask.Deadline.Before(y.ask.Deadline)
}

// trim refuses the last ticket of a full list.
func (b *board) trim(list *[]*ticket, now time.Time) {
	if len(*list) <= maxWaiting {
		return
	}
	last := (*list)[maxWaiting]
	*list = (*list)[:maxWaiting]
	b.deliver(last, decision{code: result.Overloaded, retry: b.wait(last, now), message: "the queue is full"}, now)
}

// capacity is the predicted seconds of work that the targets do in a second.
func (b *board) capacity() float64 {
	sum := 0.0
	for _, s := range b.targets {
		sum += s.speed() * float64(s.slots)
	}
	return sum
}

// wait predicts how long t would wait for a slot behind the tickets of its
// class that go before it.
func (b *board) wait(t *ticket, now time.Time) time.Duration {
	ahead := 0.0
	for _, o := range *b.list(t) {
		if before(t, o) {
			break
		}
		ahead += o.work
	}
	return seconds(ahead/math.Max(b.capacity(), minSample)) + b.nextFree(now)
}

// nextFree predicts the time until a slot is free.
func (b *board) nextFree(now time.Time) time.Duration {
	least := math.Inf(1)
	for _, s := range b.targets {
		if s.room() {
			return 0
		}
		for _, l := range s.leases {
			least = math.Min(least, l.work/s.speed()-now.Sub(l.at).Seconds())
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return seconds(math.Max(0, least))
}

// refusal says whether t can't be served in time.
func (b *board) refusal(t *ticket, now time.Time) (decision, bool) {
	if !b.served(t) {
		return decision{code: result.NoTarget, message: "no usable target in pool " + b.pool}, true
	}
	left := t.ask.Deadline.Sub(now) - b.least(t)
	if left < 0 {
		return decision{code: result.DeadlineTooShort, message: "the stage takes longer than the time left"}, true
	}
	wait := b.wait(t, now)
	switch {
	case wait > left:
		return decision{code: result.Overloaded, retry: wait - left, message: "the queue is longer than the time left"}, true
	case t.over && wait > left/2:
		return decision{code: result.OverShare, retry: wait, message: "the workspace is beyond its share"}, true
	}
	return decision{}, false
}

// served reports whether any target may run t.
func (b *board) served(t *ticket) bool {
	for _, s := range b.targets {
		if suits(s, t) {
			return true
		}
	}
	return false
}

func suits(s *slotState, t *ticket) bool {
	if t.ask.Model != "" && !contains(s.target.Models, t.ask.Model) {
		return false
	}
	return !contains(t.ask.Exclude, s.target.Name)
}

// least is the predicted time of t on the fastest target.
func (b *board) least(t *ticket) time.Duration {
	best := 0.0
	for _, s := range b.targets {
		if suits(s, t) {
			best = math.Max(best, s.speed())
		}
	}
	return seconds(t.work / math.Max(best, minSample))
}

// complete frees the slot of an attempt, or drops its ticket, and learns from
// the outcome.
func (b *board) complete(id string, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.leases[id]; l != nil {
		b.free(l)
		b.learn(l, o)
	} else {
		// The ask may still be under way, on a link that was cut.
		b.ended.Add(id, true)
		b.short = dropTicket(b.short, id)
		b.long = dropTicket(b.long, id)
	}
	b.schedule(now)
}

func (b *board) free(l *lease) {
	delete(b.leases, l.id)
	delete(l.target.leases, l.id)
}

// learn updates what is known of the target and of this kind of work.
func (b *board) learn(l *lease, o Outcome) {
	switch o.Kind {
	case Failed, BrokeTarget:
		l.target.failed++
		return
	case Abandoned:
		return
	}
	l.target.failed = 0
	b.observe(l, o.Took.Seconds())
}

// witness learns from an attempt that another board granted.
func (b *board) witness(target string, k workKey, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byName[target]; s != nil {
		b.observe(&lease{key: k, target: s, work: math.Exp(b.work.estimate(k).mean)}, took.Seconds())
	}
}

// observe takes in the time of a whole attempt.
func (b *board) observe(l *lease, took float64) {
	if b.work.estimate(l.key).known() && !l.misjudged {
		l.target.observe(l.work, took)
	}
	if l.target.ratio >= slowedRatio {
		b.work.add(l.key, took*math.Exp(l.target.past))
	}
}

func dropTicket(list []*ticket, id string) []*ticket {
	for i, t := range list {
		if t.ask.AttemptID == id {
			t.deliver(decision{code: result.Overloaded, message: "given up"})
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// tick refuses tickets that can no longer be served, drops leases whose owner
// fell silent and looks for slowed targets.
func (b *board) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.follow(now)
	for _, s := range b.targets {
		s.lookAtRunning(now)
	}
	for _, l := range b.leases {
		b.reclass(l, now)
		if l.owner != "" && now.Sub(l.renewed) > leaseTimeout {
			b.free(l)
		}
	}
	b.short = b.expire(b.short, now)
	b.long = b.expire(b.long, now)
	b.schedule(now)
}

// reclass counts an attempt as long that has run for as long as long work
// does, and lets the next of its kind be taken for long too.
func (b *board) reclass(l *lease, now time.Time) {
	ran := now.Sub(l.at).Seconds() * l.target.speed()
	if !l.long && ran > longFactor*math.Exp(b.work.typical(b.pool).mean) {
		l.long, l.misjudged = true, true
		b.work.atLeast(l.key, ran)
	}
}

func (b *board) expire(list []*ticket, now time.Time) []*ticket {
	rest := list[:0]
	for _, t := range list {
		if t.ask.Deadline.Sub(now) < b.least(t) {
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
