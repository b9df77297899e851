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
type Ask struct {
	AttemptID string
	RequestID string
	Workspace string
	// Share is the weight of the workspace; zero is one.
	Share    float64
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
	First bool
}

// Grant is the right to run one attempt at one target.
type Grant struct {
	AttemptID string
	Target    *declaration.Target
	Ask       Ask
	At        time.Time
	// Expected is the predicted time of the attempt at Target, zero if unknown.
	Expected time.Duration
	// Long says that the attempt is of the long class.
	Long bool

	from source
}

// source is where a grant came from and goes back to.
type source interface{ isSource() }

// counted grants come from the counts of this host.
type counted struct{}

// ownBoard grants come from this host's own board of a pool.
type ownBoard struct{ board *board }

// heldShard grants come from the holder of a shard.
type heldShard struct {
	key  shardKey
	link *holderLink // nil when this host is the holder
}

func (counted) isSource()   {}
func (ownBoard) isSource()  {}
func (heldShard) isSource() {}

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

	mu     sync.Mutex
	counts counts
	own    map[string]*board
	// outlooks are the queues' last words.
	outlooks *lru.Cache[outlookKey, heardOutlook]
	// running are this host's attempts, under SharedQueue.
	running map[string]heldGrant
	holder  holder
	links   links
	waits   waits
	work    predictor // what this host saw itself
}

// Acquire waits for a slot until ctx ends. Its error is a *result.Error.
func (d *Dispatcher) Acquire(ctx context.Context, a Ask) (*Grant, error) {
	switch d.Policy.(type) {
	case Random, LeastOfTwo, LeastOfTwoExchanged:
		return d.pick(a)
	case OwnShare:
		return d.acquireOwn(ctx, a)
	case SharedQueue:
		return d.acquireShared(ctx, a)
	default:
		panic("queue: unexpected policy")
	}
}

// Done gives the slot of g back. It must be called once for each grant.
func (d *Dispatcher) Done(g *Grant, o Outcome) {
	switch from := g.from.(type) {
	case counted:
		d.putBack(g)
	case ownBoard:
		from.board.complete(g.AttemptID, o, d.Clock.Now())
	case heldShard:
		d.report(from, g, o)
	default:
		panic("queue: unexpected source of a grant")
	}
	d.reportToHolder(g, o)
	if o.Kind == Succeeded {
		d.work.add(workKeyOf(&g.Ask), o.Took.Seconds())
	}
}

// Quantiles returns the median and the ninth decile of the time that such
// attempts took from this host, and false before enough were seen.
func (d *Dispatcher) Quantiles(a *Ask) (median, high time.Duration, ok bool) {
	e := d.work.estimate(workKeyOf(a))
	return e.median(), e.high(), e.known()
}

// refuse says that nothing ran only where that is true.
func refuse(a *Ask, code result.Code, retry time.Duration, format string, args ...any) error {
	if !a.First {
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
	boards := make([]*board, 0, len(d.own))
	for _, b := range d.own {
		boards = append(boards, b)
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
