package queue

import (
	"context"
	"errors"
	"fmt"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/result"
)

// acquireShared requests a slot from the holder of one of the pool's shards. If the
// holder does not answer, it uses the fallbacks of acquireFromNextHolder.
func (d *Dispatcher) acquireShared(ctx context.Context, a SlotRequest) (*Grant, error) {
	k := d.chooseShard(&a)
	h := d.Exchange.Members().Holder(k.holderKey())
	args := d.grantArgs(&a, k)
	if h.Name == d.Exchange.Self.Name {
		return d.acquireAsHolder(ctx, a, args)
	}
	l := d.link(h)
	reply, err := d.requestGrant(ctx, l, args)
	if errors.Is(err, errHolderDown) {
		return d.acquireFromNextHolder(ctx, a, args, h)
	}
	return d.handleReply(ctx, a, k, l, reply, err)
}

// acquireFromNextHolder requests a slot from the host that would hold the shard
// without the holder, which does not answer. That host grants only if it cannot
// reach the holder either; otherwise this host falls back to its own share.
func (d *Dispatcher) acquireFromNextHolder(ctx context.Context, a SlotRequest, args *GrantArgs, holder peer.Host) (*Grant, error) {
	next := d.Exchange.Members().Without(holder.Name).Holder(args.Shard.holderKey())
	args.Second, args.TimeLeft = true, a.Deadline.Sub(d.Clock.Now())
	if next.Name == d.Exchange.Self.Name {
		return d.acquireAsHolder(ctx, a, args)
	}
	l := d.link(next)
	reply, err := (*GrantReply)(nil), errHolderDown
	if d.reachable(l) {
		reply, err = d.requestGrant(ctx, l, args)
	}
	if errors.Is(err, errHolderDown) || (err == nil && reply.NotHolder) {
		d.Stats.Fallbacks.Inc(1)
		return d.acquireOwnShare(ctx, a)
	}
	return d.handleReply(ctx, a, args.Shard, l, reply, err)
}

// mayActAsHolder reports whether this host may grant slots of a shard whose holder
// an entry host could not reach.
func (d *Dispatcher) mayActAsHolder(k shardKey) bool {
	h := d.Exchange.Members().Holder(k.holderKey())
	if h.Name == d.Exchange.Self.Name {
		return true
	}
	return !d.reachable(d.link(h))
}

// handleReply turns a holder's reply into a grant or an error. If the reply is
// based on stale targets, it falls back to this host's own share.
func (d *Dispatcher) handleReply(ctx context.Context, a SlotRequest, k shardKey, l *holderLink, reply *GrantReply, err error) (*Grant, error) {
	if err != nil {
		d.sendCompletion(l, Completion{Shard: k, AttemptID: a.AttemptID, Outcome: Outcome{Kind: Abandoned}})
		return nil, contextError(ctx, &a)
	}
	d.recordShardWait(k, reply.Wait)
	x := decision{target: reply.Target, nextWait: reply.Wait, overShare: reply.Over, expected: reply.Expected, long: reply.Long, code: reply.Code, retryAfter: reply.Retry, message: reply.Message}
	d.recordWaitEstimate(&a, x)
	if d.holderIsStale(&a, x) {
		if x.target != "" {
			d.sendCompletion(l, Completion{Shard: k, AttemptID: a.AttemptID, Outcome: Outcome{Kind: Abandoned}})
		}
		d.Stats.Fallbacks.Inc(1)
		return d.acquireOwnShare(ctx, a)
	}
	return d.toGrant(&a, x, holderSource{key: k, link: l})
}

// holderIsStale reports whether the holder's knowledge of targets is older than
// this host's: it found no target where there is one, or granted one that is
// leaving.
func (d *Dispatcher) holderIsStale(a *SlotRequest, x decision) bool {
	if x.target != "" {
		return d.Targets.Lookup(x.target) == nil
	}
	return x.code == result.NoTarget && len(without(d.Targets.Usable(a.Pool, a.Model), a.Exclude)) > 0
}

// recordRunning records a running attempt for the lists that are sent to holders.
func (d *Dispatcher) recordRunning(g *Grant) {
	if _, ok := d.Policy.(SharedQueue); !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = map[string]runningAttempt{}
	}
	held := runningAttempt{target: g.Target.Name, at: g.GrantedAt, work: workKeyOf(&g.Request)}
	held.shard = shardKey{g.Target.Pool, shardOf(g.Target.Name, shardCount(len(d.Targets.Usable(g.Target.Pool, ""))))}
	if from, ok := g.source.(holderSource); ok {
		held.reportedTo = from.holder(d)
	}
	d.running[g.AttemptID] = held
}

// holder returns the host that granted.
func (s holderSource) holder(d *Dispatcher) peer.Host {
	if s.link == nil {
		return d.Exchange.Self
	}
	return s.link.host
}

// acquireAsHolder waits for a slot from a scheduler that this host holds itself.
func (d *Dispatcher) acquireAsHolder(ctx context.Context, a SlotRequest, args *GrantArgs) (*Grant, error) {
	args.Host = "" // no lease to renew: the scheduler ends with this host
	s, answer := d.enqueueAsHolder(args)
	select {
	case x := <-answer:
		d.recordWaitEstimate(&a, x)
		d.recordShardWait(args.Shard, x.nextWait)
		return d.toGrant(&a, x, holderSource{key: args.Shard})
	case <-ctx.Done():
		s.complete(a.AttemptID, Outcome{Kind: Abandoned}, d.Clock.Now())
		return nil, contextError(ctx, &a)
	}
}

// returnSlot returns a slot to the scheduler that granted it.
func (d *Dispatcher) returnSlot(from holderSource, g *Grant, o Outcome) {
	if from.link == nil {
		d.heldScheduler(from.key).complete(g.AttemptID, o, d.Clock.Now())
		return
	}
	d.sendCompletion(from.link, Completion{Shard: from.key, AttemptID: g.AttemptID, Outcome: o})
}

// notifyHolder reports the end of an attempt to the present holder of its shard, if
// another source granted it.
func (d *Dispatcher) notifyHolder(g *Grant, o Outcome) {
	d.mu.Lock()
	held, ok := d.running[g.AttemptID]
	delete(d.running, g.AttemptID)
	d.mu.Unlock()
	if !ok {
		return
	}
	h := d.Exchange.Members().Holder(held.shard.holderKey())
	from, isHeld := g.source.(holderSource)
	switch {
	case h.Name == d.Exchange.Self.Name:
		if !isHeld || from.link != nil {
			d.heldScheduler(held.shard).complete(g.AttemptID, o, d.Clock.Now())
		}
	case !isHeld || from.link == nil || from.link.host != h:
		d.sendCompletion(d.link(h), Completion{Shard: held.shard, AttemptID: g.AttemptID, Outcome: o})
	}
}

func (d *Dispatcher) grantArgs(a *SlotRequest, k shardKey) *GrantArgs {
	return &GrantArgs{
		Host: d.Exchange.Self.Name, Shard: k, AttemptID: a.AttemptID, Workspace: a.Workspace, Share: a.Weight,
		Pipeline: a.Pipeline, Stage: a.Stage, Model: a.Model, Priority: a.Priority,
		TimeLeft: a.Deadline.Sub(d.Clock.Now()), PromptBytes: a.PromptBytes, Prefix: a.Prefix,
		Exclude: a.Exclude, First: a.NothingRan,
	}
}

// holderKey returns the key by which the holder of a shard is chosen.
func (k shardKey) holderKey() string { return fmt.Sprintf("Queue/%s/%d", k.Pool, k.Shard) }
