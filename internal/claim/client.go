package claim

import (
	"context"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// The pace and bounds of a Client.
const (
	// tryTimeout bounds the time for which one host is asked.
	askTimeout = time.Second
	// roundPause is the time between two rounds over the hosts.
	roundDelay = 200 * time.Millisecond
	// peersAsked is the number of hosts that are asked before the own one.
	maxPeersAsked = 2
	// maxBackground bounds the releases and outcomes that are still being
	// recorded after their request has ended. Beyond it they are dropped, and
	// the key ends as OutcomeUnknown.
	maxBackground = 512
	// maxBackgroundTime bounds the time spent on one of them.
	maxBackgroundTime = Window
)

// Client is the Claimer of a host. It asks the host that holds the key's
// partition, then the next one, then its own Holder. Exported fields are set
// before Run.
type Client struct {
	Clock   *clock.Service
	Members Members
	Peers   *peer.Caller
	Holder  *Holder
	// Dropped counts releases and outcomes beyond maxBackground.
	Dropped metrics.Counter

	mu    sync.Mutex
	ctx   context.Context // of Run; nil before and after
	group errgroup.Group
}

var _ Claimer = (*Client)(nil)

// NewClient returns a Client.
func NewClient(c *clock.Service, m Members, peers *peer.Caller, h *Holder) *Client {
	return &Client{Clock: c, Members: m, Peers: peers, Holder: h, Dropped: metrics.NewCounter()}
}

// Run keeps recording what outlives its request until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.group.SetLimit(maxBackground)
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.ctx = nil
	c.mu.Unlock()
	c.group.Wait()
	return ctx.Err()
}

// Claim asks for the verdict on r.
func (c *Client) Claim(ctx context.Context, r Request) (Verdict, error) {
	now := c.Clock.Now()
	if err := checkClaim(&r, now); err != nil {
		return Refused{err}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.Until.Sub(now))
	defer cancel()
	t := c.askHosts(ctx, &Question{Kind: ClaimKind, Request: r})
	switch {
	case t.reply.Kind == FirstReply && r.Valid(c.Clock.Now()) && ctx.Err() == nil:
		return First{}, nil
	case t.reply.Kind == RepeatReply:
		c.releaseIfUncertain(r, t.uncertain)
		return Repeat{t.reply.Outcome}, nil
	case t.reply.Kind == RefusedReply:
		c.releaseIfUncertain(r, t.uncertain)
		return Refused{&t.reply.Refusal}, nil
	default:
		c.releaseIfUncertain(r, t.uncertain || t.reply.Kind == FirstReply)
		return nil, logUnavailable("no verdict on the claim could be had in time")
	}
}

// checkClaim refuses what no holder would accept.
func checkClaim(r *Request, now time.Time) *result.Error {
	if err := checkKey(r.Key, now); err != nil {
		return err
	}
	if r.Until.After(now.Add(MaxHold)) {
		return result.NotRun(result.BadRequest, "a claim can't be held for more than %s", MaxHold)
	}
	if !r.Valid(now) {
		return result.NotRun(result.DeadlineTooShort, "the deadline has passed")
	}
	return nil
}

// giveUp releases a claim that may yet turn out to be the first.
func (c *Client) releaseIfUncertain(r Request, uncertain bool) {
	if uncertain {
		c.recordInBackground(&Question{Kind: ReleaseKind, Request: r})
	}
}

// Release gives up a first claim of which nothing was sent.
func (c *Client) Release(ctx context.Context, r Request) error {
	return c.record(ctx, &Question{Kind: ReleaseKind, Request: r})
}

// Finish records the outcome of a first claim.
func (c *Client) Finish(ctx context.Context, r Request, o Outcome) error {
	return c.record(ctx, &Question{Kind: OutcomeKind, Request: r, Outcome: o.trim()})
}

// record brings the record of q to the log; what isn't there when ctx ends is
// tried further in the background.
func (c *Client) record(ctx context.Context, q *Question) error {
	for ctx.Err() == nil {
		if t := c.askHosts(ctx, q); t.reply.Kind == DoneReply {
			return nil
		}
		c.Clock.Sleep(ctx, roundDelay)
	}
	c.recordInBackground(q)
	return ctx.Err()
}

// background goes on recording q without its request.
func (c *Client) recordInBackground(q *Question) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parent := c.ctx
	started := parent != nil && c.group.TryGo(func() error {
		ctx, cancel := context.WithTimeout(parent, maxBackgroundTime)
		defer cancel()
		for ctx.Err() == nil {
			if t := c.askHosts(ctx, q); t.reply.Kind == DoneReply {
				return nil
			}
			c.Clock.Sleep(ctx, appendRetryDelay)
		}
		return nil
	})
	if !started {
		c.Dropped.Inc(1)
	}
}

// tried is what asking around came to.
type askResult struct {
	reply Reply
	// uncertain says that the record may yet appear on the stream.
	uncertain bool
}

// askAround asks host after host until one has a verdict, all have refused, or
// ctx ends. Every question carries the same attempt ID.
func (c *Client) askHosts(ctx context.Context, q *Question) askResult {
	var t askResult
	key := streamName(partitionOf(q.Request.Workspace, q.Request.Key, c.Holder.partitions()))
	for ctx.Err() == nil {
		for _, h := range c.hostsToAsk(key) {
			reply, uncertain := c.ask(ctx, h, q)
			t.uncertain = t.uncertain || uncertain
			if reply.Kind == NoReply {
				continue
			}
			t.reply = reply
			if !shouldAskNext(&reply) {
				return t
			}
		}
		if t.reply.Kind != NoReply {
			return t
		}
		c.Clock.Sleep(ctx, roundDelay)
	}
	return t
}

// elsewhere reports whether another host may know better.
func shouldAskNext(r *Reply) bool {
	return r.Kind == RefusedReply && r.Refusal.Code == result.LogUnavailable
}

// route returns the hosts to ask, the holder of key first and the own host
// last.
func (c *Client) hostsToAsk(key string) []peer.Host {
	hosts := append([]peer.Host(nil), c.Members.Members().Hosts...)
	var out []peer.Host
	for len(hosts) > 0 && len(out) < maxPeersAsked {
		h := peer.NewMembers(hosts).Holder(key)
		if h.Name == c.Holder.Self {
			break
		}
		out = append(out, h)
		hosts = withoutHost(hosts, h.Name)
	}
	return append(out, peer.Host{Name: c.Holder.Self})
}

func withoutHost(hosts []peer.Host, name string) []peer.Host {
	kept := hosts[:0]
	for _, h := range hosts {
		if h.Name != name {
			kept = append(kept, h)
		}
	}
	return kept
}

// ask asks one host. It reports whether the host may have appended the record
// although it didn't say so.
func (c *Client) ask(ctx context.Context, h peer.Host, q *Question) (Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := *q
	asked.Wait = askTimeout
	if deadline, ok := ctx.Deadline(); ok {
		asked.Wait = time.Until(deadline)
	}
	if h.Name == c.Holder.Self {
		reply := c.Holder.Ask(&asked)
		return reply, reply.Uncertain
	}
	reply := &Reply{}
	if err := c.Peers.Call(ctx, h.Addr, askMethod, &asked, reply); err != nil {
		return Reply{}, !link.IsRefused(err)
	}
	return *reply, reply.Uncertain
}
