package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
)

// Bounds of what an entry host waits for from a holder.
const (
	// silenceLimit is how long a holder may be silent, while something is
	// pending, before it is probed; probeTimeout bounds the probe.
	silenceLimit = 250 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// renewPeriod is the time without a message after which a holder hears of the
	// slots held from it; any message renews them. wholePeriod is how often it
	// hears of all of them even so, to make good what was lost.
	renewPeriod = time.Second
	wholePeriod = 30 * time.Second
	// returnPeriod is how often a holder that is down is probed.
	returnPeriod = 500 * time.Millisecond
	reportLimit  = 2 * time.Second
)

// errHolderDown says that the holder of a shard does not answer.
var errHolderDown = errors.New("the holder of the queue does not answer")

// links are an entry host's views of the holders that it uses.
type links struct {
	mu     sync.Mutex
	byName map[string]*holderLink
}

// holderLink is the entry host's side of one holder.
type holderLink struct {
	host peer.Host

	mu       sync.Mutex
	outbox   []Completion
	flushing bool
	pending  int // grants asked for
	heard    time.Time
	spoke    time.Time // the send of the last message that was answered
	renewed  time.Time
	probing  bool
	down     chan struct{} // closed while the holder is down
	isDown   bool
}

// heldGrant is a running attempt of this host, whoever granted it.
type heldGrant struct {
	shard  shardKey
	target string
	at     time.Time
	work   workKey
	told   peer.Host // the holder that knows of it
}

// heldList are the attempts that run at targets of one holder's shards; untold
// says that the holder may not know of all of them.
type heldList struct {
	held   []HeldSlot
	untold bool
}

// link returns the link to a holder, a new one for each incarnation.
func (d *Dispatcher) link(h peer.Host) *holderLink {
	d.links.mu.Lock()
	defer d.links.mu.Unlock()
	if d.links.byName == nil {
		d.links.byName = map[string]*holderLink{}
	}
	l := d.links.byName[h.Name]
	if l == nil || l.host != h {
		l = &holderLink{host: h, down: make(chan struct{}), heard: d.Clock.Now()}
		d.links.byName[h.Name] = l
	}
	return l
}

// tickLinks probes silent holders and tells each holder what is held from its
// shards, so that a new holder learns what an earlier one granted.
func (d *Dispatcher) tickLinks(ctx context.Context, now time.Time) {
	lists := d.heldByHolder(now)
	d.links.mu.Lock()
	var due []*holderLink
	for _, l := range d.links.byName {
		if l.probeDue(lists[l.host], now) {
			due = append(due, l)
		}
	}
	d.links.mu.Unlock()
	for _, l := range due {
		go d.probe(ctx, l, lists[l.host])
	}
}

// heldByHolder lists the running attempts by the present holder of their
// shards, and makes sure that there is a link to each.
func (d *Dispatcher) heldByHolder(now time.Time) map[peer.Host]heldList {
	members := d.Exchange.Members()
	lists := map[peer.Host]heldList{}
	d.mu.Lock()
	for id, g := range d.running {
		h := members.Holder(g.shard.holderKey())
		list := lists[h]
		list.untold = list.untold || g.told != h
		list.held = append(list.held, HeldSlot{Shard: g.shard, AttemptID: id, Target: g.target, Age: now.Sub(g.at), Work: g.work})
		lists[h] = list
	}
	d.mu.Unlock()
	for h, list := range lists {
		switch {
		case h.Name != d.Exchange.Self.Name:
			d.link(h)
		case list.untold:
			d.renew(&ReportArgs{Held: list.held})
			d.tell(h, list)
		}
	}
	return lists
}

// probeDue reports whether l is to be probed now, and notes that it is.
func (l *holderLink) probeDue(list heldList, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing {
		return false
	}
	due := false
	switch {
	case l.isDown:
		due = now.Sub(l.renewed) >= returnPeriod
	case l.pending > 0 && now.Sub(l.heard) >= silenceLimit:
		due = true
	default:
		silent := now.Sub(l.spoke) >= renewPeriod && now.Sub(l.renewed) >= renewPeriod
		due = list.untold || (len(list.held) > 0 && (silent || now.Sub(l.renewed) >= wholePeriod))
	}
	if due {
		l.probing = true
		l.renewed = now
	}
	return due
}

// probe sends the whole list of held slots and judges the holder by the answer.
func (d *Dispatcher) probe(ctx context.Context, l *holderLink, list heldList) {
	now := d.Clock.Now()
	d.Stats.Lists.Inc(1)
	args := &ReportArgs{Host: d.Exchange.Self.Name, Whole: true, Held: list.held}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := d.Caller.Call(ctx, l.host.Addr, serviceName+".Report", args, &ReportReply{})
	l.mu.Lock()
	l.probing = false
	l.mu.Unlock()
	if err != nil {
		l.fail()
		return
	}
	d.tell(l.host, list)
	l.hear(d.Clock.Now(), now)
}

// tell notes that h knows of a list.
func (d *Dispatcher) tell(h peer.Host, list heldList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range list.held {
		if g, ok := d.running[s.AttemptID]; ok {
			g.told = h
			d.running[s.AttemptID] = g
		}
	}
}

// fail marks the holder as down; those who wait for it fall back.
func (l *holderLink) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isDown {
		l.isDown = true
		close(l.down)
	}
}

// hear notes that the holder answered.
func (l *holderLink) hear(now, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
	if sent.After(l.spoke) {
		l.spoke = sent
	}
	if l.isDown {
		l.isDown = false
		l.down = make(chan struct{})
	}
}

// begin notes a pending grant. It returns the completions to take along and
// the channel that is closed when the holder is found to be down.
func (l *holderLink) begin(now time.Time) ([]Completion, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return nil, nil, errHolderDown
	}
	if l.pending == 0 {
		l.heard = now
	}
	l.pending++
	done := l.outbox
	l.outbox = nil
	return done, l.down, nil
}

// end notes the end of a pending grant.
func (l *holderLink) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
}

// grant asks the holder for a slot. Its error is errHolderDown, or that of ctx.
func (d *Dispatcher) grant(ctx context.Context, l *holderLink, args *GrantArgs) (*GrantReply, error) {
	sent := d.Clock.Now()
	done, down, err := l.begin(sent)
	if err != nil {
		return nil, err
	}
	defer l.end()
	args.Done = done
	d.Stats.Asked.Inc(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan error, 1)
	reply := &GrantReply{}
	go func() { answer <- d.Caller.Call(ctx, l.host.Addr, serviceName+".Grant", args, reply) }()
	select {
	case err = <-answer:
	case <-down:
		return nil, errHolderDown
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err != nil {
		l.fail()
		return nil, errHolderDown
	}
	l.hear(d.Clock.Now(), sent)
	return reply, nil
}

// send queues a completion for the holder; several go in one call.
func (d *Dispatcher) send(l *holderLink, c Completion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return // the next whole list says the same
	}
	l.outbox = append(l.outbox, c)
	if !l.flushing {
		l.flushing = true
		go d.flush(l)
	}
}

// flush sends the outbox until it is empty.
func (d *Dispatcher) flush(l *holderLink) {
	for {
		l.mu.Lock()
		done := l.outbox
		l.outbox = nil
		l.flushing = len(done) > 0
		l.mu.Unlock()
		if len(done) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
		args := &ReportArgs{Host: d.Exchange.Self.Name, Done: done}
		sent := d.Clock.Now()
		d.Stats.Reports.Inc(1)
		// Lost completions are made good by the next whole list.
		if d.Caller.Call(ctx, l.host.Addr, serviceName+".Report", args, &ReportReply{}) == nil {
			l.hear(d.Clock.Now(), sent)
		}
		cancel()
	}
}
