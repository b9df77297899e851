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
	renewPeriod      = time.Second
	fullReportPeriod = 30 * time.Second
	// returnPeriod is how often a holder that is down is probed.
	downProbePeriod = 500 * time.Millisecond
	reportTimeout   = 2 * time.Second
	// An answer within freshTime says that a host can be reached; else it is asked
	// and has pingTimeout to answer.
	freshAnswerAge = 200 * time.Millisecond
	pingTimeout    = 150 * time.Millisecond
	// maxOutbox bounds the completions that wait for a holder.
	maxOutbox = 4096
	// doubtTime is how long, after a holder was down or an ask was given up, the
	// whole list goes each renewPeriod: asks that were on their way may still be
	// granted.
	uncertainTime = 4 * time.Second
)

// errHolderDown says that the holder of a shard does not answer.
var errHolderDown = errors.New("the holder of the queue does not answer")

// links are an entry host's views of the holders that it uses.
type holderLinks struct {
	mu     sync.Mutex
	byName map[string]*holderLink
}

// holderLink is the entry host's side of one holder.
type holderLink struct {
	host peer.Host

	mu               sync.Mutex
	outbox           []Completion
	flushing         bool
	pending          int // grants asked for
	lastHeard        time.Time
	lastAnsweredSend time.Time // the send of the last message that was answered
	lastReport       time.Time
	probing          bool
	down             chan struct{} // closed while the holder is down
	isDown           bool
	uncertainUntil   time.Time // the end of doubtTime
}

// heldGrant is a running attempt of this host, whoever granted it.
type runningAttempt struct {
	shard      shardKey
	target     string
	at         time.Time
	work       workKey
	reportedTo peer.Host // the holder that knows of it
}

// heldList are the attempts that run at targets of one holder's shards; untold
// says that the holder may not know of all of them.
type heldList struct {
	held       []HeldSlot
	unreported bool
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
		l = &holderLink{host: h, down: make(chan struct{}), lastHeard: d.Clock.Now()}
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
		list.unreported = list.unreported || g.reportedTo != h
		list.held = append(list.held, HeldSlot{Shard: g.shard, AttemptID: id, Target: g.target, Age: now.Sub(g.at), Work: g.work})
		lists[h] = list
	}
	d.mu.Unlock()
	for h, list := range lists {
		switch {
		case h.Name != d.Exchange.Self.Name:
			d.link(h)
		case list.unreported:
			d.reconcileLeases(&ReportArgs{Held: list.held})
			d.markReported(h, list)
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
		due = now.Sub(l.lastReport) >= downProbePeriod
	case l.pending > 0 && now.Sub(l.lastHeard) >= silenceLimit:
		due = true
	case now.Before(l.uncertainUntil):
		due = now.Sub(l.lastReport) >= renewPeriod
	default:
		silent := now.Sub(l.lastAnsweredSend) >= renewPeriod && now.Sub(l.lastReport) >= renewPeriod
		due = list.unreported || (len(list.held) > 0 && (silent || now.Sub(l.lastReport) >= fullReportPeriod))
	}
	if due {
		l.probing = true
		l.lastReport = now
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
		l.markDown()
		return
	}
	d.markReported(l.host, list)
	l.recordAnswer(d.Clock.Now(), now)
	d.startFlush(l)
}

// reachable reports whether the host of l answers now.
func (d *Dispatcher) reachable(l *holderLink) bool {
	now := d.Clock.Now()
	l.mu.Lock()
	down, spoke := l.isDown, l.lastAnsweredSend
	l.mu.Unlock()
	if down || now.Sub(spoke) < freshAnswerAge {
		return !down
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if d.Caller.Call(ctx, l.host.Addr, serviceName+".Report", &ReportArgs{Host: d.Exchange.Self.Name}, &ReportReply{}) != nil {
		l.markDown()
		return false
	}
	l.recordAnswer(d.Clock.Now(), now)
	return true
}

// tell notes that h knows of a list.
func (d *Dispatcher) markReported(h peer.Host, list heldList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range list.held {
		if g, ok := d.running[s.AttemptID]; ok {
			g.reportedTo = h
			d.running[s.AttemptID] = g
		}
	}
}

// fail marks the holder as down; those who wait for it fall back.
func (l *holderLink) markDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isDown {
		l.isDown = true
		close(l.down)
	}
}

// hear notes that the holder answered.
func (l *holderLink) recordAnswer(now, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard = now
	if sent.After(l.lastAnsweredSend) {
		l.lastAnsweredSend = sent
	}
	if l.isDown {
		l.isDown = false
		l.down = make(chan struct{})
		l.uncertainUntil = now.Add(uncertainTime)
	}
}

// flushLater sends what waits for a holder that is up again.
func (d *Dispatcher) startFlush(l *holderLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) > 0 && !l.flushing {
		l.flushing = true
		go d.flush(l)
	}
}

// begin notes a pending grant. It returns the completions to take along and
// the channel that is closed when the holder is found to be down.
func (l *holderLink) beginGrant(now time.Time) ([]Completion, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return nil, nil, errHolderDown
	}
	if l.pending == 0 {
		l.lastHeard = now
	}
	l.pending++
	done := l.outbox
	l.outbox = nil
	return done, l.down, nil
}

// end notes the end of a pending grant.
func (l *holderLink) endGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
}

// grant asks the holder for a slot. Its error is errHolderDown, or that of ctx.
func (d *Dispatcher) requestGrant(ctx context.Context, l *holderLink, args *GrantArgs) (*GrantReply, error) {
	sent := d.Clock.Now()
	done, down, err := l.beginGrant(sent)
	if err != nil {
		return nil, err
	}
	defer l.endGrant()
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
		d.sendCompletion(l, Completion{Shard: args.Shard, AttemptID: args.AttemptID, Outcome: Outcome{Kind: Abandoned}})
		return nil, errHolderDown
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err != nil {
		l.markDown()
		return nil, errHolderDown
	}
	l.recordAnswer(d.Clock.Now(), sent)
	return reply, nil
}

// send queues a completion for the holder; several go in one call.
func (d *Dispatcher) sendCompletion(l *holderLink, c Completion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) < maxOutbox { // the next whole list says the same
		l.outbox = append(l.outbox, c)
	}
	if !l.flushing && !l.isDown {
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
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		args := &ReportArgs{Host: d.Exchange.Self.Name, Done: done}
		sent := d.Clock.Now()
		d.Stats.Reports.Inc(1)
		// Lost completions are made good by the next whole list.
		if d.Caller.Call(ctx, l.host.Addr, serviceName+".Report", args, &ReportReply{}) == nil {
			l.recordAnswer(d.Clock.Now(), sent)
		}
		cancel()
	}
}
