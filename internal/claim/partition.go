package claim

import (
	"context"
	"errors"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
)

// The pace and bounds of a partition at one host.
const (
	// BatchInterval is the least time between two appends to a partition.
	BatchInterval = 50 * time.Millisecond
	// maxBatch is the number of records of one append.
	maxBatch = 256
	// MaxEntries bounds the keys of a partition in memory; further claims are
	// refused with TableFull.
	MaxEntries = 128 << 10
	// maxWaiting bounds the claims that wait for the log, and maxSettling all
	// records that do.
	maxWaiting  = 4 << 10
	maxSettling = 8 << 10
	// appendPause is the time before an append that failed is tried again.
	appendPause = 500 * time.Millisecond
	// upkeepPeriod is the time between clearing what nobody waits for any more.
	upkeepPeriod = time.Second
)

// question is one call that waits for an answer of a partition.
type question struct {
	kind    string // ClaimKind, ReleaseKind or OutcomeKind
	request Request
	entry   platform.Entry
	until   time.Time // when the asker stops waiting
	reply   chan answer
}

// answer is a reply; when answerAt is set the stored answer has to be read from
// the log.
type answer struct {
	Reply
	answerAt platform.Offset
}

// pending is a record that is not yet seen on the stream.
type pending struct {
	entry platform.Entry
	kind  string
	// askers wait for the record to be seen.
	askers []*question
	until  time.Time // when the last asker stops waiting
	// uncertain says that an append of the record may have taken effect.
	uncertain bool
	queued    bool
}

// appendResult is the end of an append.
type appendResult struct {
	sent []*pending
	err  error
}

// partition follows one stream and appends to it. All fields below the channels
// belong to the goroutine of run.
type partition struct {
	stream string
	clock  *clock.Service
	log    platform.Log
	limit  int // of entries

	questions chan *question
	reads     chan platform.TailRead
	appended  chan appendResult
	done      chan struct{}

	table    Table
	next     platform.Offset // of the first record not yet folded
	ready    bool            // the window of the stream has been folded
	held     []*question     // asked before ready
	waiting  map[string]*pending
	queue    []*pending
	inFlight bool
	earliest time.Time // of the next append
	flushAt  <-chan struct{}
	stats    *Stats
}

// run answers questions until ctx ends.
func (p *partition) run(ctx context.Context) {
	defer close(p.done)
	upkeep := p.clock.Subscribe(ctx, upkeepPeriod)
	tail := platform.Tail{Log: p.log, Clock: p.clock, Stream: p.stream, MaxAge: Window + 2*MaxSkew, Reads: p.reads}
	go tail.Run(ctx)
	for {
		select {
		case q := <-p.questions:
			p.ask(q)
		case r := <-p.reads:
			p.fold(r)
		case r := <-p.appended:
			p.settle(r)
		case <-p.flushAt:
			p.flushAt = nil
			p.flush(ctx)
		case <-upkeep:
			p.upkeep()
		case <-ctx.Done():
			return
		}
		p.clock.Now() // waits while the host is suspended
		p.schedule(ctx)
	}
}

// ask answers q from the table or puts its record in the queue.
func (p *partition) ask(q *question) {
	if !p.ready {
		p.hold(q)
		return
	}
	p.table.Advance(p.clock.Now().Add(-MaxSkew))
	if q.kind == ClaimKind {
		if v := p.table.Find(&q.request); v != nil {
			p.answer(q, v, false)
			return
		}
	}
	if w := p.waiting[q.entry.ID]; w != nil {
		w.askers = append(w.askers, q)
		w.until = later(w.until, q.until)
		return
	}
	if p.full(q.kind) {
		p.stats.TableFull.Inc(1)
		q.reply <- answer{Reply: refused(result.NotRun(result.TableFull, "the table of claims is full"))}
		return
	}
	w := &pending{entry: q.entry, kind: q.kind, askers: []*question{q}, until: q.until}
	p.waiting[q.entry.ID] = w
	p.enqueue(w)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// full reports whether a record of this kind can't be taken. Claims meet their
// limit first, so that outcomes and releases still pass.
func (p *partition) full(kind string) bool {
	if kind == ClaimKind {
		return len(p.waiting) >= maxWaiting || p.table.Len()+len(p.waiting) >= p.limit
	}
	return len(p.waiting) >= maxSettling
}

// hold keeps q until the window of the stream is folded.
func (p *partition) hold(q *question) {
	if len(p.held) >= maxWaiting {
		q.reply <- answer{Reply: refused(result.NotRun(result.TableFull, "too many claims wait for the log"))}
		return
	}
	p.held = append(p.held, q)
}

func (p *partition) enqueue(w *pending) {
	w.queued = true
	p.queue = append(p.queue, w)
}

// schedule starts the next append, or sets the time for it.
func (p *partition) schedule(ctx context.Context) {
	if p.inFlight || len(p.queue) == 0 || p.flushAt != nil {
		return
	}
	d := p.earliest.Sub(p.clock.Now())
	if d <= 0 {
		p.flush(ctx)
		return
	}
	p.flushAt, _ = p.clock.After(d)
}

// flush appends the queued records that somebody still waits for.
func (p *partition) flush(ctx context.Context) {
	now := p.clock.Now()
	var sent []*pending
	var entries []platform.Entry
	for len(p.queue) > 0 && len(sent) < maxBatch {
		w := p.queue[0]
		p.queue = p.queue[1:]
		w.queued = false
		if p.waiting[w.entry.ID] != w || now.After(w.until) {
			continue
		}
		sent = append(sent, w)
		entries = append(entries, w.entry)
	}
	if len(sent) == 0 {
		return
	}
	p.inFlight = true
	p.earliest = now.Add(BatchInterval)
	p.stats.Appends.Inc(1)
	p.stats.Records.Inc(int64(len(sent)))
	go func() {
		_, err := p.log.Append(ctx, p.stream, entries)
		select {
		case p.appended <- appendResult{sent, err}:
		case <-p.done:
		}
	}()
}

// settle deals with the end of an append. Records that surely were not
// appended are refused or tried again; those that may have been are appended
// again under the same ID unless they show up first.
func (p *partition) settle(r appendResult) {
	p.inFlight = false
	if r.err == nil {
		for _, w := range r.sent {
			w.uncertain = true
		}
		return
	}
	p.earliest = p.clock.Now().Add(appendPause)
	var refusal *platform.RefusedError
	sure := errors.As(r.err, &refusal)
	for _, w := range r.sent {
		if p.waiting[w.entry.ID] != w {
			continue
		}
		if sure && w.kind == ClaimKind {
			p.refuse(w, refusal.RetryAfter)
			continue
		}
		w.uncertain = w.uncertain || !sure
		p.enqueue(w)
	}
}

// refuse answers the askers of a claim that the log service didn't take.
func (p *partition) refuse(w *pending, retryAfter time.Duration) {
	delete(p.waiting, w.entry.ID)
	e := logUnavailable("the log service takes no claims")
	e.RetryAfter = max(retryAfter, e.RetryAfter)
	for _, q := range w.askers {
		reply := refused(e)
		reply.Uncertain = w.uncertain
		q.reply <- answer{Reply: reply}
	}
}

// defaultRetryAfter is the time to come back when the log service names none.
const defaultRetryAfter = 2 * time.Second

func logUnavailable(message string) *result.Error {
	e := result.NotRun(result.LogUnavailable, "%s", message)
	e.RetryAfter = defaultRetryAfter
	return e
}

// fold applies what was read and answers whoever waited for it.
func (p *partition) fold(r platform.TailRead) {
	if r.Err != nil {
		p.refuseHeld()
		return
	}
	p.skip(r.Batch)
	for i := range r.Batch.Records {
		rec := &r.Batch.Records[i]
		if rec.Offset < p.next {
			continue
		}
		p.next = rec.Offset + 1
		p.seen(p.table.Apply(rec))
	}
	if !p.ready && p.next >= r.Batch.Next {
		p.ready = true
		held := p.held
		p.held = nil
		for _, q := range held {
			p.ask(q)
		}
	}
}

// skip starts the table anew when records before the batch are no longer kept.
func (p *partition) skip(b platform.Batch) {
	first := b.Next
	if len(b.Records) > 0 {
		first = b.Records[0].Offset
	}
	if first > p.next {
		p.table = Table{}
		p.next = first
	}
}

// refuseHeld answers the questions that wait for a stream that can't be read.
func (p *partition) refuseHeld() {
	for _, q := range p.held {
		q.reply <- answer{Reply: refused(logUnavailable("the log service can't be read"))}
	}
	p.held = nil
}

// seen answers the askers of a record that the fold has passed.
func (p *partition) seen(a Applied) {
	w := p.waiting[a.ID]
	if w == nil {
		return
	}
	delete(p.waiting, a.ID)
	for _, q := range w.askers {
		if q.kind == ClaimKind {
			p.answer(q, a.Verdict, true)
		} else {
			q.reply <- answer{Reply: Reply{Kind: DoneReply}}
		}
	}
}

// answer sends a verdict to q.
func (p *partition) answer(q *question, v Verdict, folded bool) {
	if !p.table.Known() {
		reply := refused(logUnavailable("the claims follow rules that are newer than this host"))
		reply.Uncertain = folded
		q.reply <- answer{Reply: reply}
		return
	}
	switch v := v.(type) {
	case First:
		q.reply <- answer{Reply: Reply{Kind: FirstReply}}
	case Repeat:
		q.reply <- answer{Reply{Kind: RepeatReply, Outcome: v.Outcome}, p.table.OutcomeAt(&q.request)}
	case Refused:
		q.reply <- answer{Reply: refused(v.Result)}
	default:
		q.reply <- answer{Reply: refused(result.NotRun(result.BadRequest, "the claim can't be read"))}
	}
}

// upkeep forgets what has expired and what nobody waits for.
func (p *partition) upkeep() {
	now := p.clock.Now()
	p.table.Advance(now.Add(-MaxSkew))
	for id, w := range p.waiting {
		if now.After(w.until) {
			delete(p.waiting, id)
		}
	}
	held := p.held[:0]
	for _, q := range p.held {
		if !now.After(q.until) {
			held = append(held, q)
		}
	}
	p.held = held
	p.stats.Entries.Update(int64(p.table.Len()))
}
