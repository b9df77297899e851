// Package queue decides which target runs an attempt and when. A Dispatcher is
// asked by the pipeline for each attempt, hands out a Grant of one slot and is
// told when the attempt is done. The policy is chosen in the settings.
//
// Three parts make up the policies. A board orders waiting attempts and knows
// the slots and the observed speed of a set of targets. With OwnShare each host
// has a board of its own with its share of the slots. With SharedQueue the
// targets of a pool are cut into shards, and one host, the holder, keeps the
// board of a shard; entry hosts ask it over net/rpc and fall back to their own
// share when it does not answer. Random and the LeastOfTwo policies keep counts
// alone. All of it is soft state: losing it costs time, never an answer.
package queue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Ask describes an attempt that needs a slot.
type SlotRequest struct {
	AttemptID string
	RequestID string
	Workspace string
	// Share is the weight of the workspace; zero is one.
	Weight   float64
	Pipeline string
	Stage    string
	Pool     string
	Model    string
	Priority int
	// Deadline is the time by which this stage should end for the request to
	// meet its own deadline.
	Deadline time.Time
	// PromptBytes is the size of the input, for predictions.
	PromptBytes int
	// Prefix is a digest of the prompt's beginning, or empty.
	Prefix string
	// Exclude names targets that earlier attempts of the request used.
	Exclude []string
	// First says that nothing of the request has run, so that a refusal is honest.
	NothingRan bool
}

// Grant is the right to run one attempt at one target.
type Grant struct {
	AttemptID string
	Target    *declaration.Target
	Request   SlotRequest
	GrantedAt time.Time
	// Expected is the predicted time of the attempt at Target, zero if unknown.
	Expected time.Duration
	// Long says that the attempt is of the long class.
	Long bool

	source grantSource
}

// source is where a grant came from and goes back to.
type grantSource interface{ isGrantSource() }

// counted grants come from the counts of this host.
type countedSource struct{}

// ownBoard grants come from this host's own board of a pool.
type localSource struct{ scheduler *scheduler }

// heldShard grants come from the holder of a shard.
type holderSource struct {
	key  shardKey
	link *holderLink // nil when this host is the holder
}

func (countedSource) isGrantSource() {}
func (localSource) isGrantSource()   {}
func (holderSource) isGrantSource()  {}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The kinds of outcomes.
const (
	Succeeded OutcomeKind = iota
	Failed
	BrokeTarget
	Abandoned
)

// Outcome is what the dispatcher learns when an attempt is done.
type Outcome struct {
	Kind OutcomeKind
	// Took is the time from the send to the end.
	Took time.Duration
	// FirstPiece is the time from the send to the first piece, zero for none.
	FirstPiece time.Duration
}

// Dispatcher grants slots. Exported fields are set before Run.
type Dispatcher struct {
	Clock    *clock.Service
	Targets  *target.Registry
	Exchange *peer.Exchange
	Caller   *peer.Caller
	Policy   Policy
	Rand     *rand.Rand
	Stats    *Stats

	mu              sync.Mutex
	counts          counts
	localSchedulers map[string]*localScheduler
	// outlooks are the queues' last words.
	waitEstimates *lru.Cache[waitEstimateKey, cachedWaitEstimate]
	// running are this host's attempts, under SharedQueue.
	running    map[string]runningAttempt
	holder     shardHolder
	links      holderLinks
	shardWaits reportedWaits
	predictor  predictor // what this host saw itself
}

// Acquire waits for a slot until ctx ends. Its error is a *result.Error.
func (d *Dispatcher) Acquire(ctx context.Context, a SlotRequest) (*Grant, error) {
	switch d.Policy.(type) {
	case Random, LeastOfTwo, LeastOfTwoExchanged:
		return d.pickTarget(a)
	case OwnShare:
		return d.acquireOwnShare(ctx, a)
	case SharedQueue:
		return d.acquireShared(ctx, a)
	default:
		panic("queue: unexpected policy")
	}
}

// Done gives the slot of g back. It must be called once for each grant.
func (d *Dispatcher) Done(g *Grant, o Outcome) {
	switch from := g.source.(type) {
	case countedSource:
		d.releaseCount(g)
	case localSource:
		from.scheduler.complete(g.AttemptID, o, d.Clock.Now())
	case holderSource:
		d.returnSlot(from, g, o)
		if o.Kind == Succeeded {
			// The own share is the fallback, so it learns too.
			d.localScheduler(g.Request.Pool).learnFromOther(g.Target.Name, workKeyOf(&g.Request), o.Took)
		}
	default:
		panic("queue: unexpected source of a grant")
	}
	d.notifyHolder(g, o)
	if o.Kind == Succeeded {
		d.predictor.add(workKeyOf(&g.Request), o.Took.Seconds())
	}
}

// Quantiles returns the median and the ninth decile of the time that such
// attempts took from this host, and false before enough were seen.
func (d *Dispatcher) Quantiles(a *SlotRequest) (median, high time.Duration, ok bool) {
	e := d.predictor.estimate(workKeyOf(a))
	return e.median(), e.high(), e.known()
}

// refuse says that nothing ran only where that is true.
func refuse(a *SlotRequest, code result.Code, retry time.Duration, format string, args ...any) error {
	if !a.NothingRan {
		return result.Failed(result.StageFailed, code.String()+": "+format, args...)
	}
	err := result.NotRun(code, format, args...)
	err.RetryAfter = retry
	return err
}

// tickPeriod is how often boards look for late work and links for silence.
const tickPeriod = 50 * time.Millisecond

// Run does the dispatcher's background work until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticks := d.Clock.Subscribe(ctx, tickPeriod)
	for {
		select {
		case <-ticks:
			d.tick(ctx, d.Clock.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Dispatcher) tick(ctx context.Context, now time.Time) {
	d.mu.Lock()
	boards := make([]*scheduler, 0, len(d.localSchedulers))
	for _, b := range d.localSchedulers {
		boards = append(boards, b.scheduler)
	}
	d.mu.Unlock()
	for _, b := range boards {
		b.tick(now)
	}
	d.holder.tick(now)
	d.tickLinks(ctx, now)
	if _, ok := d.Policy.(LeastOfTwoExchanged); ok {
		d.exchangeCounts(ctx, now)
	}
}
