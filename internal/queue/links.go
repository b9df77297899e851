package queue

import (
	"context"
	"errors"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
)

// Timing of the exchange between an entry host and a holder, and its bounds.
const (
	// A holder that is silent for silenceLimit while grants are pending is probed;
	// probeTimeout bounds the probe.
	silenceLimit = 250 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// After renewPeriod without a message a holder is sent the slots held from it;
	// any message renews their leases. Even with other messages it is sent all of
	// them every fullReportPeriod, to recover from lost messages.
	renewPeriod      = time.Second
	fullReportPeriod = 30 * time.Second
	// downProbePeriod is how often a holder that is down is probed.
	downProbePeriod = 500 * time.Millisecond
	reportTimeout   = 2 * time.Second
	// A host is reachable if it answered a message sent within freshAnswerAge;
	// otherwise it is probed and has pingTimeout to answer.
	freshAnswerAge = 200 * time.Millisecond
	pingTimeout    = 150 * time.Millisecond
	// maxOutbox bounds the completions queued for a holder.
	maxOutbox = 4096
	// For uncertainTime after a holder was down it is sent the whole list every
	// renewPeriod, since requests that were under way may still be granted.
	uncertainTime = 4 * time.Second
)

// errHolderDown means that the holder of a shard does not answer.
var errHolderDown = errors.New("the shard's holder does not answer")

// holderLinks holds an entry host's links to the holders that it uses.
type holderLinks struct {
	mu     sync.Mutex
	byName map[string]*holderLink
}

// holderLink is an entry host's view of one holder.
type holderLink struct {
	host peer.Host

	mu               sync.Mutex
	outbox           []Completion
	flushing         bool
	pending          int // grants requested and not answered
	lastHeard        time.Time
	lastAnsweredSend time.Time // when the last answered message was sent
	lastReport       time.Time
	probing          bool
	down             chan struct{} // closed while isDown
	isDown           bool
	uncertainUntil   time.Time // the end of uncertainTime
}

// runningAttempt is a running attempt of this host, from any source of grants.
type runningAttempt struct {
	shard      shardKey
	target     string
	at         time.Time
	work       workKey
	reportedTo peer.Host // the holder that was notified of it, if any
}

// heldList lists the attempts that run at targets of one holder's shards.
// unreported is true if the holder may not know of all of them.
type heldList struct {
	held       []HeldSlot
	unreported bool
}

// link returns the link to a holder. Each incarnation of a holder has its own.
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

// tickLinks probes silent holders and reports to each holder the slots held from
// its shards, so that a new holder learns what an earlier one granted.
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

// heldByHolder lists the running attempts by the present holder of their shards,
// and creates missing links to these holders.
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

// probeDue reports whether l should be probed now, and if so marks it as probing.
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

// probe sends the whole list of held slots, and marks the holder as up or down by
// whether it answers.
func (d *Dispatcher) probe(ctx context.Context, l *holderLink, list heldList) {
	now := d.Clock.Now()
	d.Stats.Lists.Inc(1)
	args := &ReportArgs{Host: d.Exchange.Self.Name, Whole: true, Held: list.held}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := d.Caller.Call(ctx, l.host.Addr, rpcName+".Report", args, &ReportReply{})
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

// reachable reports whether the host of l answers, by a recent answer or a probe.
func (d *Dispatcher) reachable(l *holderLink) bool {
	now := d.Clock.Now()
	l.mu.Lock()
	down, lastAnsweredSend := l.isDown, l.lastAnsweredSend
	l.mu.Unlock()
	if down || now.Sub(lastAnsweredSend) < freshAnswerAge {
		return !down
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if d.Caller.Call(ctx, l.host.Addr, rpcName+".Report", &ReportArgs{Host: d.Exchange.Self.Name}, &ReportReply{}) != nil {
		l.markDown()
		return false
	}
	l.recordAnswer(d.Clock.Now(), now)
	return true
}

// markReported records that h was notified of the attempts in a list.
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

// markDown marks the holder as down; requests that wait for it fall back.
func (l *holderLink) markDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isDown {
		l.isDown = true
		close(l.down)
	}
}

// recordAnswer records that the holder answered at now a message sent at sent.
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

// startFlush starts sending the outbox of a holder that is up again.
func (d *Dispatcher) startFlush(l *holderLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) > 0 && !l.flushing {
		l.flushing = true
		go d.flush(l)
	}
}

// beginGrant counts a pending grant. It returns the completions to send along and
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

// endGrant ends what beginGrant began.
func (l *holderLink) endGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending--
}

// requestGrant requests a slot from the holder. Its error is errHolderDown or that
// of ctx.
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
	go func() { answer <- d.Caller.Call(ctx, l.host.Addr, rpcName+".Grant", args, reply) }()
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

// sendCompletion queues a completion for the holder. Queued completions share a
// call.
func (d *Dispatcher) sendCompletion(l *holderLink, c Completion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) < maxOutbox { // the next whole list makes up for dropped ones
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
		// The next whole list makes up for lost completions.
		if d.Caller.Call(ctx, l.host.Addr, rpcName+".Report", args, &ReportReply{}) == nil {
			l.recordAnswer(d.Clock.Now(), sent)
		}
		cancel()
	}
}
