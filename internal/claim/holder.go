package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/rcrowley/go-metrics"
)

// Members returns the hosts that are believed alive. *peer.Exchange implements
// it.
type Members interface {
	Members() *peer.Members
}

var _ Members = (*peer.Exchange)(nil)

// Stats holds the metrics of a host's partitions.
type Stats struct {
	// Appends counts appends, and Records the records in them.
	Appends, Records metrics.Counter
	// TableFull counts the questions refused because a partition was full.
	TableFull metrics.Counter
	// Entries is the number of keys and tombstones of the partition that was
	// cleaned up last.
	Entries metrics.Gauge
}

// NewStats returns Stats with all metrics at zero.
func NewStats() *Stats {
	return &Stats{metrics.NewCounter(), metrics.NewCounter(), metrics.NewCounter(), metrics.NewGauge()}
}

// Times of a Holder.
const (
	// reviewPeriod is the time between two checks of the members.
	reviewPeriod = time.Second
	// idleTimeout is the time since its last use after which a partition that
	// another host holds is closed.
	idleTimeout = 2 * time.Minute
)

// Holder serves the partitions that this host holds, and others while it is
// asked about them. Exported fields must be set before Run.
type Holder struct {
	Clock   *clock.Service
	Log     platform.Log
	Members Members
	// Self is the name of this host.
	Self string
	// Partitions is the number of streams; zero means DefaultPartitions.
	Partitions int
	// Limit is the maximum number of keys and tombstones of a partition; zero
	// means MaxEntries.
	Limit int
	Stats *Stats

	mu   sync.Mutex
	ctx  context.Context // of Run; nil before and after
	open map[int]*openPartition
	wg   sync.WaitGroup
}

// openPartition is a partition whose stream is tailed.
type openPartition struct {
	*partition
	cancel   context.CancelFunc
	lastUsed time.Time
}

// Run keeps the partitions that this host holds open until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	h.mu.Lock()
	h.ctx, h.open = ctx, map[int]*openPartition{}
	h.mu.Unlock()
	tick := h.Clock.Subscribe(ctx, reviewPeriod)
	h.review()
	for {
		select {
		case <-tick:
			h.review()
		case <-ctx.Done():
			h.mu.Lock()
			h.ctx = nil
			h.mu.Unlock()
			h.wg.Wait()
			return ctx.Err()
		}
	}
}

func (h *Holder) partitions() int {
	if h.Partitions == 0 {
		return DefaultPartitions
	}
	return h.Partitions
}

// review opens the partitions that this host holds by its view of the members,
// and closes the idle ones that it doesn't hold.
func (h *Holder) review() {
	now, members := h.Clock.Now(), h.Members.Members()
	for n := range h.partitions() {
		if members.Holder(streamName(n)).Name == h.Self {
			h.partition(n, now)
			continue
		}
		h.mu.Lock()
		if p := h.open[n]; p != nil && now.Sub(p.lastUsed) > idleTimeout {
			p.cancel()
			delete(h.open, n)
		}
		h.mu.Unlock()
	}
}

// partition opens partition n if need be and returns it. It returns nil while the
// Holder doesn't run.
func (h *Holder) partition(n int, now time.Time) *partition {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.ctx.Err() != nil {
		return nil
	}
	if p := h.open[n]; p != nil {
		p.lastUsed = now
		return p.partition
	}
	ctx, cancel := context.WithCancel(h.ctx)
	p := h.newPartition(n)
	h.open[n] = &openPartition{partition: p, cancel: cancel, lastUsed: now}
	h.wg.Go(func() { p.run(ctx) })
	return p
}

func (h *Holder) newPartition(n int) *partition {
	p := &partition{
		stream:      streamName(n),
		clock:       h.Clock,
		log:         h.Log,
		maxEntries:  h.Limit,
		stats:       h.Stats,
		questions:   make(chan *question),
		reads:       make(chan platform.TailRead),
		appended:    make(chan appendResult),
		done:        make(chan struct{}),
		pendingByID: map[string]*pendingRecord{},
	}
	if p.maxEntries == 0 {
		p.maxEntries = MaxEntries
	}
	if p.stats == nil {
		p.stats = NewStats()
	}
	return p
}

// Ask answers a question from this host or a peer.
func (h *Holder) Ask(a *Question) Reply {
	now := h.Clock.Now()
	wait := min(a.Wait, maxWait)
	q := &question{kind: a.Kind, request: a.Request, deadline: now.Add(wait), reply: make(chan questionReply, 1)}
	var err error
	if q.entry, err = a.logEntry(); err != nil {
		return refusedReply(result.NotRun(result.BadRequest, "%v", err))
	}
	p := h.partition(partitionOf(a.Request.Workspace, a.Request.Key, h.partitions()), now)
	if p == nil {
		return Reply{}
	}
	late, stop := h.Clock.After(wait)
	defer stop()
	select {
	case p.questions <- q:
	case <-p.done:
		return Reply{}
	case <-late:
		return Reply{}
	}
	select {
	case r := <-q.reply:
		return h.loadAnswer(p, q, r, wait)
	case <-p.done:
	case <-late:
	}
	return Reply{Uncertain: true}
}

// loadAnswer returns the reply of r. It reads the stored answer from the log if
// the partition no longer has it in memory.
func (h *Holder) loadAnswer(p *partition, q *question, r questionReply, wait time.Duration) Reply {
	if r.answerOffset == 0 {
		return r.Reply
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	b, err := h.Log.Read(ctx, p.stream, r.answerOffset, 0)
	var o OutcomeRecord
	if err != nil || len(b.Records) == 0 || json.Unmarshal(b.Records[0].Data, &o) != nil || o.Key != q.request.Key {
		r.Outcome.Stored = false
		return r.Reply
	}
	r.Outcome.Answer = o.Outcome.Answer
	return r.Reply
}
