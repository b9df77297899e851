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

// Times and limits of a Client.
const (
	// askTimeout limits the time for which one host is asked.
	askTimeout = time.Second
	// roundDelay is the time between two rounds over the hosts.
	roundDelay = 200 * time.Millisecond
	// maxPeersAsked is the maximum number of peers that are asked before the local
	// host.
	maxPeersAsked = 2
	// maxBackground limits the releases and outcomes that are still being
	// recorded after their request has ended. Further ones are dropped, and their
	// keys end as OutcomeUnknown.
	maxBackground = 512
	// maxBackgroundTime limits the time spent on one of them.
	maxBackgroundTime = Window
)

// Client is the Claimer of a host. It asks the host that holds the key's
// partition, then the next one, then the local Holder. Exported fields must be
// set before Run.
type Client struct {
	Clock   *clock.Service
	Members Members
	Peers   *peer.Caller
	Holder  *Holder
	// Dropped counts the releases and outcomes that could not be recorded in the
	// background.
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

// Run enables the recording of releases and outcomes in the background until
// ctx ends.
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

// Claim implements Claimer.
func (c *Client) Claim(ctx context.Context, r Request) (Verdict, error) {
	now := c.Clock.Now()
	if err := checkClaim(&r, now); err != nil {
		return Refused{err}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.Until.Sub(now))
	defer cancel()
	res := c.askHosts(ctx, &Question{Kind: ClaimKind, Request: r})
	switch {
	case res.reply.Kind == FirstReply && r.Valid(c.Clock.Now()) && ctx.Err() == nil:
		return First{}, nil
	case res.reply.Kind == RepeatReply:
		c.releaseIfUncertain(r, res.uncertain)
		return Repeat{res.reply.Outcome}, nil
	case res.reply.Kind == RefusedReply:
		c.releaseIfUncertain(r, res.uncertain)
		return Refused{&res.reply.Refusal}, nil
	default:
		c.releaseIfUncertain(r, res.uncertain || res.reply.Kind == FirstReply)
		return nil, logUnavailable("no verdict on the claim arrived in time")
	}
}

// checkClaim returns the reason why no holder would accept r, or nil.
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

// releaseIfUncertain releases a claim that may still turn out to be the first.
func (c *Client) releaseIfUncertain(r Request, uncertain bool) {
	if uncertain {
		c.recordInBackground(&Question{Kind: ReleaseKind, Request: r})
	}
}

// Release implements Claimer.
func (c *Client) Release(ctx context.Context, r Request) error {
	return c.record(ctx, &Question{Kind: ReleaseKind, Request: r})
}

// Finish implements Claimer.
func (c *Client) Finish(ctx context.Context, r Request, o Outcome) error {
	return c.record(ctx, &Question{Kind: OutcomeKind, Request: r, Outcome: o.trim()})
}

// record asks for the record of q to be appended until it is in the log. If ctx
// ends first, the attempts continue in the background.
func (c *Client) record(ctx context.Context, q *Question) error {
	for ctx.Err() == nil {
		if res := c.askHosts(ctx, q); res.reply.Kind == DoneReply {
			return nil
		}
		c.Clock.Sleep(ctx, roundDelay)
	}
	c.recordInBackground(q)
	return ctx.Err()
}

// recordInBackground continues to record q after its request has ended.
func (c *Client) recordInBackground(q *Question) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parent := c.ctx
	started := parent != nil && c.group.TryGo(func() error {
		ctx, cancel := context.WithTimeout(parent, maxBackgroundTime)
		defer cancel()
		for ctx.Err() == nil {
			if res := c.askHosts(ctx, q); res.reply.Kind == DoneReply {
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

// askResult is the result of askHosts.
type askResult struct {
	reply Reply
	// uncertain means that the record may still appear on the stream.
	uncertain bool
}

// askHosts asks one host after the other until one gives a verdict, all have
// refused, or ctx ends. All questions carry the same attempt ID.
func (c *Client) askHosts(ctx context.Context, q *Question) askResult {
	var res askResult
	key := streamName(partitionOf(q.Request.Workspace, q.Request.Key, c.Holder.partitions()))
	for ctx.Err() == nil {
		for _, h := range c.hostsToAsk(key) {
			reply, uncertain := c.ask(ctx, h, q)
			res.uncertain = res.uncertain || uncertain
			if reply.Kind == NoReply {
				continue
			}
			res.reply = reply
			if !shouldAskNext(&reply) {
				return res
			}
		}
		if res.reply.Kind != NoReply {
			return res
		}
		c.Clock.Sleep(ctx, roundDelay)
	}
	return res
}

// shouldAskNext reports whether another host may give a better reply.
func shouldAskNext(r *Reply) bool {
	return r.Kind == RefusedReply && r.Refusal.Code == result.LogUnavailable
}

// hostsToAsk returns the hosts to ask, the holder of key first and the local host
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

// ask asks one host. It also reports whether the host may have appended the
// record without confirming it.
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
