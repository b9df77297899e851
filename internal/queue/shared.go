package queue

import (
	"context"
	"errors"
	"fmt"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/result"
)

// acquireShared asks the holder of one of the pool's shards, and falls back to
// this host's own share when it does not answer.
func (d *Dispatcher) acquireShared(ctx context.Context, a Ask) (*Grant, error) {
	k := d.shardFor(&a)
	h := d.Exchange.Members().Holder(k.holderKey())
	args := d.grantArgs(&a, k)
	if h.Name == d.Exchange.Self.Name {
		return d.acquireHere(ctx, a, args)
	}
	l := d.link(h)
	reply, err := d.grant(ctx, l, args)
	if errors.Is(err, errHolderDown) {
		d.Stats.Fallbacks.Inc(1)
		return d.acquireOwn(ctx, a)
	}
	if err != nil {
		d.send(l, Completion{Shard: k, AttemptID: a.AttemptID, Outcome: Outcome{Kind: Abandoned}})
		return nil, ended(ctx, &a)
	}
	d.heardWait(k, reply.Wait)
	x := decision{target: reply.Target, wait: reply.Wait, over: reply.Over, expects: reply.Expected, long: reply.Long, code: reply.Code, retry: reply.Retry, message: reply.Message}
	d.hear(&a, x)
	if d.holderLags(&a, x) {
		if x.target != "" {
			d.send(l, Completion{Shard: k, AttemptID: a.AttemptID, Outcome: Outcome{Kind: Abandoned}})
		}
		d.Stats.Fallbacks.Inc(1)
		return d.acquireOwn(ctx, a)
	}
	return d.granted(&a, x, heldShard{key: k, link: l})
}

// holderLags reports whether the holder's word on targets is older than what
// this host knows: it knows of no target where there is one, or grants one that
// is leaving.
func (d *Dispatcher) holderLags(a *Ask, x decision) bool {
	if x.target != "" {
		return d.Targets.Lookup(x.target) == nil
	}
	return x.code == result.NoTarget && len(without(d.Targets.Usable(a.Pool, a.Model), a.Exclude)) > 0
}

// note records a running attempt for the lists that holders get.
func (d *Dispatcher) note(g *Grant) {
	if _, ok := d.Policy.(SharedQueue); !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = map[string]heldGrant{}
	}
	held := heldGrant{target: g.Target.Name, at: g.At, work: workKeyOf(&g.Ask)}
	held.shard = shardKey{g.Target.Pool, shardOf(g.Target.Name, shardCount(len(d.Targets.Usable(g.Target.Pool, ""))))}
	if from, ok := g.from.(heldShard); ok {
		held.told = from.holder(d)
	}
	d.running[g.AttemptID] = held
}

// holder is the host that granted.
func (s heldShard) holder(d *Dispatcher) peer.Host {
	if s.link == nil {
		return d.Exchange.Self
	}
	return s.link.host
}

// acquireHere waits at a board that this host holds itself.
func (d *Dispatcher) acquireHere(ctx context.Context, a Ask, args *GrantArgs) (*Grant, error) {
	args.Host = "" // no lease: this host's own end frees the board too
	b, answer := d.enqueueAt(args)
	select {
	case x := <-answer:
		d.hear(&a, x)
		d.heardWait(args.Shard, x.wait)
		return d.granted(&a, x, heldShard{key: args.Shard})
	case <-ctx.Done():
		b.complete(a.AttemptID, Outcome{Kind: Abandoned}, d.Clock.Now())
		return nil, ended(ctx, &a)
	}
}

// report gives a slot back to the board that granted it.
func (d *Dispatcher) report(from heldShard, g *Grant, o Outcome) {
	if from.link == nil {
		d.heldBoard(from.key).complete(g.AttemptID, o, d.Clock.Now())
		return
	}
	d.send(from.link, Completion{Shard: from.key, AttemptID: g.AttemptID, Outcome: o})
}

// reportToHolder tells the present holder of a shard of the end of an attempt
// that another one granted.
func (d *Dispatcher) reportToHolder(g *Grant, o Outcome) {
	d.mu.Lock()
	held, ok := d.running[g.AttemptID]
	delete(d.running, g.AttemptID)
	d.mu.Unlock()
	if !ok {
		return
	}
	h := d.Exchange.Members().Holder(held.shard.holderKey())
	from, isHeld := g.from.(heldShard)
	switch {
	case h.Name == d.Exchange.Self.Name:
		if !isHeld || from.link != nil {
			d.heldBoard(held.shard).complete(g.AttemptID, o, d.Clock.Now())
		}
	case !isHeld || from.link == nil || from.link.host != h:
		d.send(d.link(h), Completion{Shard: held.shard, AttemptID: g.AttemptID, Outcome: o})
	}
}

func (d *Dispatcher) grantArgs(a *Ask, k shardKey) *GrantArgs {
	return &GrantArgs{
		Host: d.Exchange.Self.Name, Shard: k, AttemptID: a.AttemptID, Workspace: a.Workspace, Share: a.Share,
		Pipeline: a.Pipeline, Stage: a.Stage, Model: a.Model, Priority: a.Priority,
		TimeLeft: a.Deadline.Sub(d.Clock.Now()), PromptBytes: a.PromptBytes, Prefix: a.Prefix,
		Exclude: a.Exclude, First: a.First,
	}
}

// holderKey is what the holder of a shard is chosen by.
func (k shardKey) holderKey() string { return fmt.Sprintf("Queue/%s/%d", k.Pool, k.Shard) }
