package claim

import (
	"context"
	"errors"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
)

// Intervals and limits of a partition at one host.
const (
	// BatchInterval is the minimum time between two appends to a partition.
	BatchInterval = 50 * time.Millisecond
	// maxBatch is the maximum number of records in one append.
	maxBatch = 256
	// MaxEntries limits the keys and tombstones of a partition in memory; further
	// claims are refused with TableFull.
	MaxEntries = 128 << 10
	// maxPendingRecords limits the records that wait for the log. Claims are
	// refused earlier, at maxPendingClaims.
	maxPendingClaims  = 4 << 10
	maxPendingRecords = 8 << 10
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = 500 * time.Millisecond
	// cleanupPeriod is the time between removals of expired keys and of records
	// and questions that nobody waits for.
	cleanupPeriod = time.Second
)

// question is a call of Holder.Ask that waits for a reply from a partition.
type question struct {
	kind     string // ClaimKind, ReleaseKind or OutcomeKind
	request  Request
	entry    platform.Entry
	deadline time.Time // when the caller stops waiting
	reply    chan questionReply
}

// questionReply is the reply to a question. If answerOffset is set, the stored
// answer has to be read from the log.
type questionReply struct {
	Reply
	answerOffset platform.Offset
}

// pendingRecord is a record that has not been read from the stream yet.
type pendingRecord struct {
	entry platform.Entry
	kind  string
	// waiters are the questions that are answered when the record is read.
	waiters  []*question
	deadline time.Time // when the last waiter stops waiting
	// uncertain means that an append of the record may have taken effect.
	uncertain bool
	queued    bool
}

// appendResult is the result of an append.
type appendResult struct {
	sent []*pendingRecord
	err  error
}

// partition tails one stream and appends to it. The fields below the channels
// are used by the goroutine of run only.
type partition struct {
	stream     string
	clock      *clock.Service
	log        platform.Log
	maxEntries int // of the table

	questions chan *question
	reads     chan platform.TailRead
	appended  chan appendResult
	done      chan struct{}

	table          Table
	nextOffset     platform.Offset // of the first record that is not folded yet
	ready          bool            // the window of the stream has been folded
	deferred       []*question     // asked before ready
	pendingByID    map[string]*pendingRecord
	queue          []*pendingRecord
	inFlight       bool
	earliestAppend time.Time // of the next append
	flushTimer     <-chan struct{}
	stats          *Stats
}

// run handles questions until ctx ends.
func (p *partition) run(ctx context.Context) {
	defer close(p.done)
	cleanup := p.clock.Subscribe(ctx, cleanupPeriod)
	tail := platform.Tail{Log: p.log, Clock: p.clock, Stream: p.stream, MaxAge: Window + 2*MaxSkew, Reads: p.reads}
	go tail.Run(ctx)
	for {
		select {
		case q := <-p.questions:
			p.handleQuestion(q)
		case r := <-p.reads:
			p.fold(r)
		case r := <-p.appended:
			p.finishAppend(r)
		case <-p.flushTimer:
			p.flushTimer = nil
			p.flush(ctx)
		case <-cleanup:
			p.removeExpired()
		case <-ctx.Done():
			return
		}
		p.clock.Now() // blocks while the host is suspended
		p.schedule(ctx)
	}
}

// handleQuestion answers q from the table or queues its record for an append.
func (p *partition) handleQuestion(q *question) {
	if !p.ready {
		p.deferQuestion(q)
		return
	}
	p.table.Advance(p.clock.Now().Add(-MaxSkew))
	if q.kind == ClaimKind {
		if v := p.table.Find(&q.request); v != nil {
			p.replyVerdict(q, v, false)
			return
		}
	}
	if w := p.pendingByID[q.entry.ID]; w != nil {
		w.waiters = append(w.waiters, q)
		w.deadline = later(w.deadline, q.deadline)
		return
	}
	if p.full(q.kind) {
		p.stats.TableFull.Inc(1)
		q.reply <- questionReply{Reply: refusedReply(result.NotRun(result.TableFull, "the claims table is full"))}
		return
	}
	w := &pendingRecord{entry: q.entry, kind: q.kind, waiters: []*question{q}, deadline: q.deadline}
	p.pendingByID[q.entry.ID] = w
	p.enqueue(w)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// full reports whether a record of this kind can't be accepted. Claims reach
// their limit first, so that outcomes and releases are still accepted.
func (p *partition) full(kind string) bool {
	if kind == ClaimKind {
		return len(p.pendingByID) >= maxPendingClaims || p.table.Len()+len(p.pendingByID) >= p.maxEntries
	}
	return len(p.pendingByID) >= maxPendingRecords
}

// deferQuestion keeps q until the window of the stream is folded.
func (p *partition) deferQuestion(q *question) {
	if len(p.deferred) >= maxPendingClaims {
		p.stats.TableFull.Inc(1)
		q.reply <- questionReply{Reply: refusedReply(result.NotRun(result.TableFull, "too many claims are waiting for the log"))}
		return
	}
	p.deferred = append(p.deferred, q)
}

func (p *partition) enqueue(w *pendingRecord) {
	w.queued = true
	p.queue = append(p.queue, w)
}

// schedule starts the next append or the timer for it.
func (p *partition) schedule(ctx context.Context) {
	if p.inFlight || len(p.queue) == 0 || p.flushTimer != nil {
		return
	}
	d := p.earliestAppend.Sub(p.clock.Now())
	if d <= 0 {
		p.flush(ctx)
		return
	}
	p.flushTimer, _ = p.clock.After(d)
}

// flush appends the queued records that a caller still waits for.
func (p *partition) flush(ctx context.Context) {
	now := p.clock.Now()
	var sent []*pendingRecord
	var entries []platform.Entry
	for len(p.queue) > 0 && len(sent) < maxBatch {
		w := p.queue[0]
		p.queue = p.queue[1:]
		w.queued = false
		if p.pendingByID[w.entry.ID] != w || now.After(w.deadline) {
			continue
		}
		sent = append(sent, w)
		entries = append(entries, w.entry)
	}
	if len(sent) == 0 {
		return
	}
	p.inFlight = true
	p.earliestAppend = now.Add(BatchInterval)
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

// finishAppend handles the result of an append. Claims that were definitely not
// appended are refused, and other such records are retried. Records that may
// have been appended are appended again under the same ID, unless they are read
// from the stream first.
func (p *partition) finishAppend(r appendResult) {
	p.inFlight = false
	if r.err == nil {
		for _, w := range r.sent {
			w.uncertain = true
		}
		return
	}
	p.earliestAppend = p.clock.Now().Add(appendRetryDelay)
	var refusal *platform.RefusedError
	sure := errors.As(r.err, &refusal)
	for _, w := range r.sent {
		if p.pendingByID[w.entry.ID] != w {
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

// refuse answers the waiters of a claim that the log service rejected.
func (p *partition) refuse(w *pendingRecord, retryAfter time.Duration) {
	delete(p.pendingByID, w.entry.ID)
	e := logUnavailable("the log service rejected the claim")
	e.RetryAfter = max(retryAfter, e.RetryAfter)
	for _, q := range w.waiters {
		reply := refusedReply(e)
		reply.Uncertain = w.uncertain
		q.reply <- questionReply{Reply: reply}
	}
}

// defaultRetryAfter is the retry delay when the log service gives none.
const defaultRetryAfter = 2 * time.Second

func logUnavailable(message string) *result.Error {
	e := result.NotRun(result.LogUnavailable, "%s", message)
	e.RetryAfter = defaultRetryAfter
	return e
}

// fold applies the records that were read and answers their waiters.
func (p *partition) fold(r platform.TailRead) {
	if r.Err != nil {
		p.refuseDeferred()
		return
	}
	p.resetAfterGap(r.Batch)
	for i := range r.Batch.Records {
		rec := &r.Batch.Records[i]
		if rec.Offset < p.nextOffset {
			continue
		}
		p.nextOffset = rec.Offset + 1
		p.replyToWaiters(p.table.Apply(rec))
	}
	if !p.ready && p.nextOffset >= r.Batch.Next {
		p.ready = true
		deferred := p.deferred
		p.deferred = nil
		for _, q := range deferred {
			p.handleQuestion(q)
		}
	}
}

// resetAfterGap empties the table if records before the batch are no longer
// retained.
func (p *partition) resetAfterGap(b platform.Batch) {
	first := b.Next
	if len(b.Records) > 0 {
		first = b.Records[0].Offset
	}
	if first > p.nextOffset {
		p.table = Table{}
		p.nextOffset = first
	}
}

// refuseDeferred refuses the deferred questions when the stream can't be read.
func (p *partition) refuseDeferred() {
	for _, q := range p.deferred {
		q.reply <- questionReply{Reply: refusedReply(logUnavailable("the claims stream can't be read from the log service"))}
	}
	p.deferred = nil
}

// replyToWaiters answers the waiters of a record that has been folded.
func (p *partition) replyToWaiters(a Applied) {
	w := p.pendingByID[a.ID]
	if w == nil {
		return
	}
	delete(p.pendingByID, a.ID)
	for _, q := range w.waiters {
		if q.kind == ClaimKind {
			p.replyVerdict(q, a.Verdict, true)
		} else {
			q.reply <- questionReply{Reply: Reply{Kind: DoneReply}}
		}
	}
}

// replyVerdict sends a verdict to q; folded means that the claim is on the
// stream.
func (p *partition) replyVerdict(q *question, v Verdict, folded bool) {
	if !p.table.RuleKnown() {
		reply := refusedReply(logUnavailable("the claims stream uses newer rules than this host supports"))
		reply.Uncertain = folded
		q.reply <- questionReply{Reply: reply}
		return
	}
	switch v := v.(type) {
	case First:
		q.reply <- questionReply{Reply: Reply{Kind: FirstReply}}
	case Repeat:
		q.reply <- questionReply{Reply{Kind: RepeatReply, Outcome: v.Outcome}, p.table.OutcomeAt(&q.request)}
	case Refused:
		q.reply <- questionReply{Reply: refusedReply(v.Result)}
	default:
		q.reply <- questionReply{Reply: refusedReply(result.NotRun(result.BadRequest, "the claim record can't be decoded"))}
	}
}

// removeExpired drops expired keys, and the records and questions that nobody
// waits for.
func (p *partition) removeExpired() {
	now := p.clock.Now()
	p.table.Advance(now.Add(-MaxSkew))
	for id, w := range p.pendingByID {
		if now.After(w.deadline) {
			delete(p.pendingByID, id)
		}
	}
	kept := p.deferred[:0]
	for _, q := range p.deferred {
		if !now.After(q.deadline) {
			kept = append(kept, q)
		}
	}
	p.deferred = kept
	p.stats.Entries.Update(int64(p.table.Len()))
}
