package queue

import (
	"maps"
	"sync"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// rpcName is the name under which Service is registered for RPC.
const rpcName = "Queue"

// GrantArgs requests a slot from the holder of a shard. Times are relative, since
// the hosts' clocks may differ.
type GrantArgs struct {
	Host        string // the entry host, empty if it is the holder itself
	Shard       shardKey
	AttemptID   string
	Workspace   string
	Share       float64 // SlotRequest.Weight
	Pipeline    string
	Stage       string
	Model       string
	Priority    int
	TimeLeft    time.Duration
	PromptBytes int
	Prefix      string
	Exclude     []string
	First       bool // SlotRequest.NothingRan
	// Second is true if the receiver is asked in place of the holder, which did not
	// answer the sender.
	Second bool
	// Done holds completions that are sent along.
	Done []Completion
}

// GrantReply is a grant, or a refusal with its code if Target is empty.
type GrantReply struct {
	Target   string
	Expected time.Duration
	Long     bool
	Code     result.Code
	Retry    time.Duration // the time after which to retry
	Message  string
	// Wait is the predicted wait of the next such attempt; Over is true if the
	// workspace is beyond its share.
	Wait time.Duration
	Over bool
	// NotHolder is true if the receiver did not act as the holder, because it can
	// reach the holder.
	NotHolder bool
}

// Completion returns the slot of an attempt that has ended.
type Completion struct {
	Shard     shardKey
	AttemptID string
	Outcome   Outcome
}

// ReportArgs carries completions and, if Whole is set, all slots that the sender
// holds.
type ReportArgs struct {
	Host string
	Done []Completion
	// Whole is true if Held lists every slot that the sender holds from the
	// receiver; the others are then free.
	Whole bool
	Held  []HeldSlot
}

// HeldSlot is a slot that an entry host holds.
type HeldSlot struct {
	Shard     shardKey
	AttemptID string
	Target    string
	Age       time.Duration
	Work      workKey
}

// ReportReply acknowledges a report.
type ReportReply struct{}

// CountsArgs carries the outstanding attempts of a host by target.
type CountsArgs struct {
	Host   string
	Counts map[string]int
}

// CountsReply acknowledges counts.
type CountsReply struct{}

// Service is the RPC service of a dispatcher.
type Service struct{ d *Dispatcher }

// Service returns the RPC service and the name to register it under.
func (d *Dispatcher) Service() (name string, s *Service) { return rpcName, &Service{d} }

// Grant waits for a slot. It returns when the slot is granted or refused.
func (s *Service) Grant(args *GrantArgs, reply *GrantReply) error {
	s.d.holder.recordMessage(args.Host, s.d.Clock.Now())
	s.d.completeAll(args.Host, args.Done)
	if args.Second && !s.d.mayActAsHolder(args.Shard) {
		reply.NotHolder = true
		return nil
	}
	*reply = s.d.grantAsHolder(args)
	return nil
}

// Report processes completions and renews the sender's leases.
func (s *Service) Report(args *ReportArgs, _ *ReportReply) error {
	s.d.holder.recordMessage(args.Host, s.d.Clock.Now())
	s.d.completeAll(args.Host, args.Done)
	if args.Whole {
		s.d.reconcileLeases(args)
	}
	return nil
}

// Counts stores the counts of another host.
func (s *Service) Counts(args *CountsArgs, _ *CountsReply) error {
	s.d.storeCounts(args)
	return nil
}

// shardHolder keeps the schedulers of the shards that this host holds, or that
// other hosts believe it holds.
type shardHolder struct {
	mu         sync.Mutex
	schedulers map[shardKey]*heldScheduler
	// lastHeard is the time of the last message from each host that holds leases.
	lastHeard map[string]time.Time
}

// recordMessage records a message from a host, which renews the host's leases.
func (h *shardHolder) recordMessage(owner string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastHeard == nil {
		h.lastHeard = map[string]time.Time{}
	}
	h.lastHeard[owner] = now
}

// heldScheduler is the scheduler of a shard that this host holds.
type heldScheduler struct {
	*scheduler
	lastUsed time.Time
	// builtFrom is the list from which the targets were last set.
	builtFrom []*declaration.Target
}

// idleTimeout is the time after which an unused scheduler without leases and
// tickets, or a host that sends no messages, is removed.
const idleTimeout = time.Minute

// heldScheduler returns the scheduler of a shard, updated to the shard's present
// targets. It creates one if needed.
func (d *Dispatcher) heldScheduler(k shardKey) *scheduler {
	h := &d.holder
	now := d.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.schedulers == nil {
		h.schedulers = map[shardKey]*heldScheduler{}
	}
	s := h.schedulers[k]
	if s == nil {
		s = &heldScheduler{scheduler: newScheduler(k.Pool)}
		h.schedulers[k] = s
	}
	s.lastUsed = now
	if usable := d.Targets.Usable(k.Pool, ""); !sameList(s.builtFrom, usable) {
		s.builtFrom = usable
		s.update(shardTargets(usable, k.Shard))
	}
	return s.scheduler
}

// tick does the schedulers' periodic work and removes unused ones.
func (h *shardHolder) tick(now time.Time) {
	h.mu.Lock()
	for owner, heard := range h.lastHeard {
		if now.Sub(heard) > idleTimeout {
			delete(h.lastHeard, owner)
		}
	}
	owners := maps.Clone(h.lastHeard)
	var schedulers []*scheduler
	for k, s := range h.schedulers {
		if now.Sub(s.lastUsed) > idleTimeout && s.idle() {
			delete(h.schedulers, k)
			continue
		}
		schedulers = append(schedulers, s.scheduler)
	}
	h.mu.Unlock()
	for _, s := range schedulers {
		s.renewLeases(owners)
		s.tick(now)
	}
}

// renewLeases renews leases by the times of their owners' last messages.
func (sched *scheduler) renewLeases(owners map[string]time.Time) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	for _, l := range sched.leases {
		if heard := owners[l.owner]; heard.After(l.renewed) {
			l.renewed = heard
		}
	}
}

// sameList reports whether a and b are the same immutable list.
func sameList(a, b []*declaration.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (sched *scheduler) idle() bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return len(sched.leases)+len(sched.shortQueue)+len(sched.longQueue) == 0
}

// grantAsHolder waits for a slot from a scheduler that this host holds.
func (d *Dispatcher) grantAsHolder(args *GrantArgs) GrantReply {
	_, answer := d.enqueueAsHolder(args)
	x := <-answer
	return GrantReply{Target: x.target, Expected: x.expected, Long: x.long, Code: x.code, Retry: x.retryAfter, Message: x.message, Wait: x.nextWait, Over: x.overShare}
}

// enqueueAsHolder adds a ticket to a scheduler that this host holds. It returns the
// channel that receives the decision.
func (d *Dispatcher) enqueueAsHolder(args *GrantArgs) (*scheduler, <-chan decision) {
	now := d.Clock.Now()
	answer := make(chan decision, 1)
	t := &ticket{
		owner: args.Host,
		request: SlotRequest{
			AttemptID: args.AttemptID, Workspace: args.Workspace, Weight: args.Share,
			Pipeline: args.Pipeline, Stage: args.Stage, Pool: args.Shard.Pool, Model: args.Model,
			Priority: args.Priority, Deadline: now.Add(args.TimeLeft), PromptBytes: args.PromptBytes,
			Prefix: args.Prefix, Exclude: args.Exclude, NothingRan: args.First,
		},
		deliver: func(x decision) { answer <- x },
	}
	s := d.heldScheduler(args.Shard)
	s.enqueue(t, now)
	return s, answer
}

// completeAll applies the completions of a host.
func (d *Dispatcher) completeAll(host string, done []Completion) {
	for _, c := range done {
		d.heldScheduler(c.Shard).complete(c.AttemptID, c.Outcome, d.Clock.Now())
	}
}

// reconcileLeases applies the whole list of slots that a host holds from here.
func (d *Dispatcher) reconcileLeases(args *ReportArgs) {
	now := d.Clock.Now()
	byShard := map[shardKey][]HeldSlot{}
	for _, slot := range args.Held {
		byShard[slot.Shard] = append(byShard[slot.Shard], slot)
	}
	for k, held := range byShard {
		d.heldScheduler(k).reconcileLeases(args.Host, held, now)
	}
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	for k, s := range d.holder.schedulers {
		if byShard[k] == nil {
			s.reconcileLeases(args.Host, nil, now)
		}
	}
}

// reconcileLeases sets the leases of an owner to those that it lists: it renews or
// adds the listed ones and frees the rest, except for recent grants.
func (sched *scheduler) reconcileLeases(owner string, held []HeldSlot, now time.Time) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	listed := map[string]bool{}
	for _, s := range held {
		listed[s.AttemptID] = true
		if l := sched.leases[s.AttemptID]; l != nil {
			l.renewed = now
			continue
		}
		if t := sched.byName[s.Target]; t != nil {
			work := sched.predictor.estimate(s.Work).median().Seconds()
			l := &lease{id: s.AttemptID, owner: owner, granted: now.Add(-s.Age), renewed: now, work: work, key: s.Work, target: t}
			t.leases[l.id], sched.leases[l.id] = l, l
		}
	}
	for _, l := range sched.leases {
		if l.owner == owner && !listed[l.id] && now.Sub(l.granted) > reportGrace {
			sched.free(l)
		}
	}
	sched.schedule(now)
}
