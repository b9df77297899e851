package stage

import (
	"context"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// serviceName is the name of the former among the RPC services of a host.
const rpcName = "Stage"

// Times of the client.
const (
	// pingInterval is the time between two looks at a holder that has jobs of
	// this host, pingTimeout bounds each. A holder is lost after maxMissed looks
	// without an answer: one packet that is lost delays an answer by more.
	pingInterval   = 250 * time.Millisecond
	pingTimeout    = 350 * time.Millisecond
	maxMissedPings = 2
	// downTime is how long a holder that was silent is passed over.
	skipTime = 3 * time.Second
	// maxMoves is the number of holders that a job is taken to before this host
	// forms its calls itself, moveTime the time after which it does so anyway.
	maxMoves    = 16
	maxMoveTime = time.Second
	// outlookLife is how long an outlook holds.
	estimateLifetime = 600 * time.Millisecond
	// tookWeight is the weight of the newest job in the usual time.
	usualTimeWeight = 0.1
	// tellTimeout bounds a message that needs no answer.
	notifyTimeout = time.Second
)

// Members says who holds a service.
type Members interface {
	Members() *peer.Members
}

// Client runs jobs at the holders of their services. Exported fields are set
// before Run.
type Client struct {
	Clock   *clock.Service
	Log     *zap.Logger
	Self    string
	Members Members
	Peers   *peer.Caller
	Batcher *Batcher

	mu            sync.Mutex
	holders       map[string]*holderState
	waitEstimates map[string]receivedEstimate
	// coming are the pieces of this host's requests that earlier stages will send.
	upcoming map[string]int
	// told is what of coming the formers were told last.
	reportedUpcoming map[string]int
	// took is the usual time of a job of each service that was on time.
	usualTimes map[string]time.Duration
}

// Run runs j and waits for the outcome. A holder that falls silent is passed
// over, and j runs at the next one; the last resort is this host.
func (c *Client) Run(ctx context.Context, j Job) (Outcome, error) {
	start := c.Clock.Now()
	due, left := j.Due, j.Left
	sent := false
	var moved time.Time // when the first holder was given up
	for moves := 0; ; moves++ {
		if moves == 1 {
			moved = c.Clock.Now()
		}
		host := c.holderOf(j.Service)
		if moves >= maxMoves || moves > 0 && c.Clock.Since(moved) > maxMoveTime {
			host = peer.Host{Name: c.Self}
		}
		passed := c.Clock.Since(start)
		j.ID, j.Due, j.Left = uuid.NewString(), due-passed, left-passed
		var o Outcome
		var err error
		if host.Name == c.Self {
			o = c.Batcher.Submit(ctx, j)
		} else {
			o, err = c.runAt(ctx, host, j)
		}
		if err == nil && o.Fault == Moved {
			c.skip(host)
			continue
		}
		if err == nil {
			o.Sent = o.Sent || sent
			c.recordOutcome(j, o)
			return o, nil
		}
		sent = true
		if ctx.Err() != nil {
			return Outcome{Fault: Cancelled, Sent: true}, context.Cause(ctx)
		}
		c.Log.Warn("holder of a service lost", zap.String("Service", j.Service), zap.String("Holder", host.Name),
			zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), journal.Error(err))
		c.markLost(host, err)
	}
}

// runAt runs j at host until it answers, falls silent or ctx ends. It asks again
// when the connection breaks; the former knows j by its ID.
func (c *Client) runAt(ctx context.Context, host peer.Host, j Job) (Outcome, error) {
	lost := c.addJob(host)
	defer c.removeJob(host)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-callCtx.Done():
		}
	}()
	var o *Outcome
	err := retryOnce(callCtx, func() error {
		o = &Outcome{}
		return c.Peers.Call(callCtx, host.Addr, rpcName+".Run", &j, o)
	})
	if err == nil {
		return *o, nil
	}
	if ctx.Err() != nil {
		go c.notify(host, "Cancel", &j.ID)
	}
	return Outcome{}, err
}

// Free drops results by way of the former that counts their room, or, where
// that is gone, of the one that forms the calls of their service now.
func (c *Client) Free(results []Result) {
	members := c.Members.Members()
	byHost := map[peer.Host][]Result{}
	for _, r := range results {
		host, ok := members.Find(r.Former)
		if !ok {
			host = c.holderOf(r.Service)
		}
		byHost[host] = append(byHost[host], r)
	}
	for host, results := range byHost {
		if host.Name == c.Self {
			c.Batcher.Free(results)
			continue
		}
		go c.notify(host, "Free", &results)
	}
}

func (c *Client) notify(host peer.Host, method string, args any) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, host.Addr, rpcName+"."+method, args, &Empty{}); err != nil {
		c.Log.Info("message to a holder lost", zap.String("Holder", host.Name), zap.String("Method", method), journal.Error(err))
	}
}
