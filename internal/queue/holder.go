package queue

import (
	"maps"
	"sync"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// serviceName is the name of the RPC service of a dispatcher.
const serviceName = "Queue"

// GrantArgs asks the holder of a shard for a slot. Times are relative, since
// the hosts' clocks may differ.
type GrantArgs struct {
	Host        string
	Shard       shardKey
	AttemptID   string
	Workspace   string
	Share       float64
	Pipeline    string
	Stage       string
	Model       string
	Priority    int
	TimeLeft    time.Duration
	PromptBytes int
	Prefix      string
	Exclude     []string
	First       bool
	// Second says that the holder did not answer the sender.
	Second bool
	// Done are completions that ride along.
	Done []Completion
}

// GrantReply is a grant, or a refusal with its code.
type GrantReply struct {
	Target   string
	Expected time.Duration
	Long     bool
	Code     result.Code
	Retry    time.Duration
	Message  string
	// Wait is the predicted wait of the next such attempt, Over says that the
	// workspace is beyond its share.
	Wait time.Duration
	Over bool
	// NotHolder says that the receiver can reach the holder.
	NotHolder bool
}

// Completion gives a slot back.
type Completion struct {
	Shard     shardKey
	AttemptID string
	Outcome   Outcome
}

// ReportArgs carries completions and, from time to time, all slots that the
// sender holds.
type ReportArgs struct {
	Host string
	Done []Completion
	// Whole says that Held lists every slot that the sender holds from the
	// receiver; others are free.
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

// CountsArgs are the outstanding attempts of a host by target.
type CountsArgs struct {
	Host   string
	Counts map[string]int
}

// CountsReply acknowledges counts.
type CountsReply struct{}

// Service is the RPC service of a dispatcher.
type Service struct{ d *Dispatcher }

// Service returns what to register under the name "Queue".
func (d *Dispatcher) Service() (name string, s *Service) { return serviceName, &Service{d} }

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

// Report takes completions and renews leases.
func (s *Service) Report(args *ReportArgs, _ *ReportReply) error {
	s.d.holder.recordMessage(args.Host, s.d.Clock.Now())
	s.d.completeAll(args.Host, args.Done)
	if args.Whole {
		s.d.reconcileLeases(args)
	}
	return nil
}

// Counts takes the counts of another host.
func (s *Service) Counts(args *CountsArgs, _ *CountsReply) error {
	s.d.storeCounts(args)
	return nil
}

// holder keeps the boards of the shards that this host holds, or was asked to
// hold by hosts that believe so.
type shardHolder struct {
	mu         sync.Mutex
	schedulers map[shardKey]*heldScheduler
	// owners has the time of the last message of each host that holds leases.
	lastHeard map[string]time.Time
}

// hear notes a message of a host, which renews its leases.
func (h *shardHolder) recordMessage(owner string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastHeard == nil {
		h.lastHeard = map[string]time.Time{}
	}
	h.lastHeard[owner] = now
}

type heldScheduler struct {
	*scheduler
	lastUsed time.Time
	// built is the list from which the targets were last set.
	builtFrom []*declaration.Target
}

// boardTimeout is the time after which a board without leases and tickets is
// forgotten.
const idleTimeout = time.Minute

// heldBoard returns the board of a shard with the shard's present targets.
func (d *Dispatcher) heldScheduler(k shardKey) *scheduler {
	h := &d.holder
	now := d.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.schedulers == nil {
		h.schedulers = map[shardKey]*heldScheduler{}
	}
	b := h.schedulers[k]
	if b == nil {
		b = &heldScheduler{scheduler: newScheduler(k.Pool)}
		h.schedulers[k] = b
	}
	b.lastUsed = now
	if usable := d.Targets.Usable(k.Pool, ""); !sameList(b.builtFrom, usable) {
		b.builtFrom = usable
		b.update(shardTargets(usable, k.Shard))
	}
	return b.scheduler
}

// tick does the boards' periodic work and forgets unused ones.
func (h *shardHolder) tick(now time.Time) {
	h.mu.Lock()
	for owner, heard := range h.lastHeard {
		if now.Sub(heard) > idleTimeout {
			delete(h.lastHeard, owner)
		}
	}
	owners := maps.Clone(h.lastHeard)
	var boards []*scheduler
	for k, b := range h.schedulers {
		if now.Sub(b.lastUsed) > idleTimeout && b.idle() {
			delete(h.schedulers, k)
			continue
		}
		boards = append(boards, b.scheduler)
	}
	h.mu.Unlock()
	for _, b := range boards {
		b.renewLeases(owners)
		b.tick(now)
	}
}

// renewed renews the leases of the owners by the times of their last messages.
func (b *scheduler) renewLeases(owners map[string]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.leases {
		if heard := owners[l.owner]; heard.After(l.renewed) {
			l.renewed = heard
		}
	}
}

// sameList reports whether a and b are the same immutable list.
func sameList(a, b []*declaration.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (b *scheduler) idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.leases)+len(b.shortQueue)+len(b.longQueue) == 0
}

// grantAt waits for a slot at a board of this host.
func (d *Dispatcher) grantAsHolder(args *GrantArgs) GrantReply {
	_, answer := d.enqueueAsHolder(args)
	x := <-answer
	return GrantReply{Target: x.target, Expected: x.expected, Long: x.long, Code: x.code, Retry: x.retryAfter, Message: x.message, Wait: x.nextWait, Over: x.overShare}
}

// enqueueAt adds a ticket to a board of this host and returns the channel that
// gets its decision.
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
	b := d.heldScheduler(args.Shard)
	b.enqueue(t, now)
	return b, answer
}

// finish takes completions of a host.
func (d *Dispatcher) completeAll(host string, done []Completion) {
	for _, c := range done {
		d.heldScheduler(c.Shard).complete(c.AttemptID, c.Outcome, d.Clock.Now())
	}
}

// renew takes the whole list of slots that a host holds here.
func (d *Dispatcher) reconcileLeases(args *ReportArgs) {
	now := d.Clock.Now()
	byShard := map[shardKey][]HeldSlot{}
	for _, s := range args.Held {
		byShard[s.Shard] = append(byShard[s.Shard], s)
	}
	for k, held := range byShard {
		d.heldScheduler(k).reconcileLeases(args.Host, held, now)
	}
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	for k, b := range d.holder.schedulers {
		if byShard[k] == nil {
			b.reconcileLeases(args.Host, nil, now)
		}
	}
}

// adopt makes the leases of an owner those that it holds: it renews and adds
// what is listed and frees the rest, but for fresh grants.
func (b *scheduler) reconcileLeases(owner string, held []HeldSlot, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := map[string]bool{}
	for _, s := range held {
		listed[s.AttemptID] = true
		if l := b.leases[s.AttemptID]; l != nil {
			l.renewed = now
			continue
		}
		if t := b.byName[s.Target]; t != nil {
			work := b.predictor.estimate(s.Work).median().Seconds()
			l := &lease{id: s.AttemptID, owner: owner, granted: now.Add(-s.Age), renewed: now, work: work, key: s.Work, target: t}
			t.leases[l.id], b.leases[l.id] = l, l
		}
	}
	for _, l := range b.leases {
		if l.owner == owner && !listed[l.id] && now.Sub(l.granted) > reportGrace {
			b.free(l)
		}
	}
	b.schedule(now)
}
