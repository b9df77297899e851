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
	s.d.holder.hear(args.Host, s.d.Clock.Now())
	s.d.finish(args.Host, args.Done)
	*reply = s.d.grantAt(args)
	return nil
}

// Report takes completions and renews leases.
func (s *Service) Report(args *ReportArgs, _ *ReportReply) error {
	s.d.holder.hear(args.Host, s.d.Clock.Now())
	s.d.finish(args.Host, args.Done)
	if args.Whole {
		s.d.renew(args)
	}
	return nil
}

// Counts takes the counts of another host.
func (s *Service) Counts(args *CountsArgs, _ *CountsReply) error {
	s.d.keepCounts(args)
	return nil
}

// holder keeps the boards of the shards that this host holds, or was asked to
// hold by hosts that believe so.
type holder struct {
	mu     sync.Mutex
	boards map[shardKey]*heldBoard
	// owners has the time of the last message of each host that holds leases.
	owners map[string]time.Time
}

// hear notes a message of a host, which renews its leases.
func (h *holder) hear(owner string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owners == nil {
		h.owners = map[string]time.Time{}
	}
	h.owners[owner] = now
}

type heldBoard struct {
	*board
	used time.Time
	// built is the list from which the targets were last set.
	built []*declaration.Target
}

// boardTimeout is the time after which a board without leases and tickets is
// forgotten.
const boardTimeout = time.Minute

// heldBoard returns the board of a shard with the shard's present targets.
func (d *Dispatcher) heldBoard(k shardKey) *board {
	h := &d.holder
	now := d.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.boards == nil {
		h.boards = map[shardKey]*heldBoard{}
	}
	b := h.boards[k]
	if b == nil {
		b = &heldBoard{board: newBoard(k.Pool)}
		h.boards[k] = b
	}
	b.used = now
	if usable := d.Targets.Usable(k.Pool, ""); !sameList(b.built, usable) {
		b.built = usable
		b.update(shardTargets(usable, k.Shard))
	}
	return b.board
}

// tick does the boards' periodic work and forgets unused ones.
func (h *holder) tick(now time.Time) {
	h.mu.Lock()
	for owner, heard := range h.owners {
		if now.Sub(heard) > boardTimeout {
			delete(h.owners, owner)
		}
	}
	owners := maps.Clone(h.owners)
	var boards []*board
	for k, b := range h.boards {
		if now.Sub(b.used) > boardTimeout && b.idle() {
			delete(h.boards, k)
			continue
		}
		boards = append(boards, b.board)
	}
	h.mu.Unlock()
	for _, b := range boards {
		b.renewed(owners)
		b.tick(now)
	}
}

// renewed renews the leases of the owners by the times of their last messages.
func (b *board) renewed(owners map[string]time.Time) {
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

func (b *board) idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.leases)+len(b.short)+len(b.long) == 0
}

// grantAt waits for a slot at a board of this host.
func (d *Dispatcher) grantAt(args *GrantArgs) GrantReply {
	_, answer := d.enqueueAt(args)
	x := <-answer
	return GrantReply{Target: x.target, Expected: x.expects, Long: x.long, Code: x.code, Retry: x.retry, Message: x.message, Wait: x.wait, Over: x.over}
}

// enqueueAt adds a ticket to a board of this host and returns the channel that
// gets its decision.
func (d *Dispatcher) enqueueAt(args *GrantArgs) (*board, <-chan decision) {
	now := d.Clock.Now()
	answer := make(chan decision, 1)
	t := &ticket{
		owner: args.Host,
		ask: Ask{
			AttemptID: args.AttemptID, Workspace: args.Workspace, Share: args.Share,
			Pipeline: args.Pipeline, Stage: args.Stage, Pool: args.Shard.Pool, Model: args.Model,
			Priority: args.Priority, Deadline: now.Add(args.TimeLeft), PromptBytes: args.PromptBytes,
			Prefix: args.Prefix, Exclude: args.Exclude, First: args.First,
		},
		deliver: func(x decision) { answer <- x },
	}
	b := d.heldBoard(args.Shard)
	b.enqueue(t, now)
	return b, answer
}

// finish takes completions of a host.
func (d *Dispatcher) finish(host string, done []Completion) {
	for _, c := range done {
		d.heldBoard(c.Shard).complete(c.AttemptID, c.Outcome, d.Clock.Now())
	}
}

// renew takes the whole list of slots that a host holds here.
func (d *Dispatcher) renew(args *ReportArgs) {
	now := d.Clock.Now()
	byShard := map[shardKey][]HeldSlot{}
	for _, s := range args.Held {
		byShard[s.Shard] = append(byShard[s.Shard], s)
	}
	for k, held := range byShard {
		d.heldBoard(k).adopt(args.Host, held, now)
	}
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	for k, b := range d.holder.boards {
		if byShard[k] == nil {
			b.adopt(args.Host, nil, now)
		}
	}
}

// adopt makes the leases of an owner those that it holds: it renews and adds
// what is listed and frees the rest, but for fresh grants.
func (b *board) adopt(owner string, held []HeldSlot, now time.Time) {
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
			work := b.work.estimate(s.Work).median().Seconds()
			l := &lease{id: s.AttemptID, owner: owner, at: now.Add(-s.Age), renewed: now, work: work, key: s.Work, target: t}
			t.leases[l.id], b.leases[l.id] = l, l
		}
	}
	for _, l := range b.leases {
		if l.owner == owner && !listed[l.id] && now.Sub(l.at) > reportGrace {
			b.free(l)
		}
	}
	b.schedule(now)
}
