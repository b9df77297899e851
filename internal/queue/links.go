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
	held     map[string]heldGrant
	heard    time.Time
	spoke    time.Time // the send of the last message that was answered
	renewed  time.Time
	probing  bool
	down     chan struct{} // closed while the holder is down
	isDown   bool
}

type heldGrant struct {
	shard  shardKey
	target string
	at     time.Time
	work   workKey
}

// link returns the link to a holder, a new one for each incarnation.
func (d *Dispatcher) link(h peer.Host) *holderLink {
	d.links.mu.Lock()
	defer d.links.mu.Unlock()
	if d.links.byName == nil {
		d.links.byName = map[string]*holderLink{}
	}
	l := d.links.byName[h.Name]
	if l == nil || l.host.Addr != h.Addr {
		l = &holderLink{host: h, held: map[string]heldGrant{}, down: make(chan struct{}), heard: d.Clock.Now()}
		d.links.byName[h.Name] = l
	}
	return l
}

// tickLinks probes silent holders and renews what is held from them.
func (d *Dispatcher) tickLinks(ctx context.Context, now time.Time) {
	d.links.mu.Lock()
	var due []*holderLink
	for _, l := range d.links.byName {
		if l.probeDue(now) {
			due = append(due, l)
		}
	}
	d.links.mu.Unlock()
	for _, l := range due {
		go d.probe(ctx, l)
	}
}

// probeDue reports whether l is to be probed now, and notes that it is.
func (l *holderLink) probeDue(now time.Time) bool {
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
		due = len(l.held) > 0 && (silent || now.Sub(l.renewed) >= wholePeriod)
	}
	if due {
		l.probing = true
		l.renewed = now
	}
	return due
}

// probe sends the whole list of held slots and judges the holder by the answer.
func (d *Dispatcher) probe(ctx context.Context, l *holderLink) {
	now := d.Clock.Now()
	d.Stats.Lists.Inc(1)
	args := &ReportArgs{Host: d.Exchange.Self.Name, Whole: true, Held: l.list(now)}
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
	l.hear(d.Clock.Now(), now)
}

func (l *holderLink) list(now time.Time) []HeldSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make([]HeldSlot, 0, len(l.held))
	for id, g := range l.held {
		held = append(held, HeldSlot{Shard: g.shard, AttemptID: id, Target: g.target, Age: now.Sub(g.at), Work: g.work})
	}
	return held
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
	delete(l.held, c.AttemptID)
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
