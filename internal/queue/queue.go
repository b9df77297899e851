// Package queue decides which target runs an attempt and when. For each attempt
// the pipeline calls Dispatcher.Acquire, which returns a Grant of one slot, and
// Dispatcher.Done when the attempt has ended. The settings choose the Policy.
//
// A scheduler orders waiting attempts and tracks the slots and the observed
// speed of a set of targets. An attempt whose predicted run time far exceeds what
// is typical of its pool is long work, any other is short; the number of slots
// that long work may hold is limited.
//
// With OwnShare each host has a local scheduler with its share of the slots. With
// SharedQueue the targets of a pool are split into shards, and one host, the
// holder, runs the scheduler of a shard; entry hosts request slots from it over
// net/rpc and fall back to their own share when it does not answer. Random and
// the LeastOfTwo policies only count outstanding attempts. All of this is soft
// state: losing it costs time, never an answer.
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

// SlotRequest describes an attempt that needs a slot.
type SlotRequest struct {
	AttemptID string
	RequestID string
	Workspace string
	// Weight is the weight of the workspace's share; zero counts as one.
	Weight   float64
	Pipeline string
	Stage    string
	Pool     string
	Model    string
	Priority int
	// Deadline is the time by which this stage should end so that the request
	// meets its own deadline.
	Deadline time.Time
	// PromptBytes is the size of the input, from which run times are predicted.
	PromptBytes int
	// Prefix is a digest of the prompt's beginning, or empty.
	Prefix string
	// Exclude names the targets that earlier attempts of the stage used.
	Exclude []string
	// NothingRan is true while no part of the request has run, so that a refusal
	// may report that nothing ran.
	NothingRan bool
}

// Grant is the right to run one attempt at one target.
type Grant struct {
	AttemptID string
	Target    *declaration.Target
	Request   SlotRequest
	GrantedAt time.Time
	// Expected is the predicted run time at Target, zero if unknown.
	Expected time.Duration
	// Long is true if the attempt is scheduled as long work.
	Long bool

	source grantSource
}

// grantSource is where a slot was granted and is returned to.
type grantSource interface{ isGrantSource() }

// countedSource is the source of grants that this host only counts.
type countedSource struct{}

// localSource is the source of grants by this host's local scheduler of a pool.
type localSource struct{ scheduler *scheduler }

// holderSource is the source of grants by the holder of a shard.
type holderSource struct {
	key  shardKey
	link *holderLink // nil when this host is the holder
}

func (countedSource) isGrantSource() {}
func (localSource) isGrantSource()   {}
func (holderSource) isGrantSource()  {}

// OutcomeKind is how an attempt ended.
type OutcomeKind int

// The kinds of outcomes. Failed and BrokeTarget count against the target;
// Abandoned says nothing about it.
const (
	Succeeded OutcomeKind = iota
	Failed
	BrokeTarget
	Abandoned
)

// Outcome reports to the dispatcher how an attempt ended.
type Outcome struct {
	Kind OutcomeKind
	// Took is the time from sending the attempt to its end.
	Took time.Duration
	// FirstPiece is the time from sending the attempt to its first piece, zero
	// if there was none.
	FirstPiece time.Duration
}

// Dispatcher grants slots of targets to attempts. Its exported fields must be
// set before Run.
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
	// waitEstimates caches the waits that schedulers last predicted.
	waitEstimates *lru.Cache[waitEstimateKey, cachedWaitEstimate]
	// running holds this host's running attempts by ID, under SharedQueue.
	running    map[string]runningAttempt
	holder     shardHolder
	links      holderLinks
	shardWaits reportedWaits
	predictor  predictor // run times that this host measured
}

// Acquire waits for a slot until ctx ends. A non-nil error is a *result.Error.
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

// Done returns the slot of g. It must be called exactly once for each grant.
func (d *Dispatcher) Done(g *Grant, o Outcome) {
	switch from := g.source.(type) {
	case countedSource:
		d.releaseCount(g)
	case localSource:
		from.scheduler.complete(g.AttemptID, o, d.Clock.Now())
	case holderSource:
		d.returnSlot(from, g, o)
		if o.Kind == Succeeded {
			// The local scheduler is the fallback, so it learns from this run too.
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

// Quantiles returns the median and the ninth decile of the run times that this
// host measured for attempts like a; ok is false until there are enough samples.
func (d *Dispatcher) Quantiles(a *SlotRequest) (median, high time.Duration, ok bool) {
	e := d.predictor.estimate(workKeyOf(a))
	return e.median(), e.high(), e.known()
}

// refuse returns the error of a refused request. It states that nothing ran
// only if no part of the request has run.
func refuse(a *SlotRequest, code result.Code, retry time.Duration, format string, args ...any) error {
	if !a.NothingRan {
		return result.Failed(result.StageFailed, code.String()+": "+format, args...)
	}
	err := result.NotRun(code, format, args...)
	err.RetryAfter = retry
	return err
}

// tickPeriod is how often schedulers check for late work and links for silent
// holders.
const tickPeriod = 50 * time.Millisecond

// Run does the dispatcher's periodic work until ctx ends.
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
	schedulers := make([]*scheduler, 0, len(d.localSchedulers))
	for _, l := range d.localSchedulers {
		schedulers = append(schedulers, l.scheduler)
	}
	d.mu.Unlock()
	for _, s := range schedulers {
		s.tick(now)
	}
	d.holder.tick(now)
	d.tickLinks(ctx, now)
	if _, ok := d.Policy.(LeastOfTwoExchanged); ok {
		d.exchangeCounts(ctx, now)
	}
}
