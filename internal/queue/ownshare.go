package queue

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// acquireOwn waits at this host's own board of the pool, which has this host's
// share of the slots.
func (d *Dispatcher) acquireOwnShare(ctx context.Context, a SlotRequest) (*Grant, error) {
	b := d.localScheduler(a.Pool)
	answer := make(chan decision, 1)
	b.enqueue(&ticket{request: a, deliver: func(x decision) { answer <- x }}, d.Clock.Now())
	select {
	case x := <-answer:
		d.recordWaitEstimate(&a, x)
		return d.toGrant(&a, x, localSource{b})
	case <-ctx.Done():
		b.complete(a.AttemptID, Outcome{Kind: Abandoned}, d.Clock.Now())
		return nil, contextError(ctx, &a)
	}
}

// ownedBoard is a host's own board and from what its slots were worked out.
type localScheduler struct {
	*scheduler
	builtFrom []*declaration.Target
	members   *peer.Members
}

// ownBoard returns this host's board of pool with its present share.
func (d *Dispatcher) localScheduler(pool string) *scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localSchedulers == nil {
		d.localSchedulers = map[string]*localScheduler{}
	}
	b := d.localSchedulers[pool]
	if b == nil {
		b = &localScheduler{scheduler: newScheduler(pool)}
		d.localSchedulers[pool] = b
	}
	usable, members := d.Targets.Usable(pool, ""), d.Exchange.Members()
	if b.members != members || !sameList(b.builtFrom, usable) {
		b.builtFrom, b.members = usable, members
		b.update(ownSlots(usable, members, d.Exchange.Self.Name))
	}
	return b.scheduler
}

// granted turns a decision into a grant or an error. A target that is no
// longer usable here gets nothing.
func (d *Dispatcher) toGrant(a *SlotRequest, x decision, from grantSource) (*Grant, error) {
	if x.target == "" {
		return nil, refuse(a, x.code, x.retryAfter, "%s", x.message)
	}
	t := d.Targets.Lookup(x.target)
	if t == nil {
		d.Done(&Grant{AttemptID: a.AttemptID, Request: *a, source: from}, Outcome{Kind: Abandoned})
		return nil, refuse(a, result.NoTarget, 0, "target %s is leaving", x.target)
	}
	g := &Grant{AttemptID: a.AttemptID, Target: t, Request: *a, GrantedAt: d.Clock.Now(), Expected: x.expected, Long: x.long, source: from}
	d.recordRunning(g)
	return g, nil
}

// ended is the error of an Ask whose context ended before its grant.
func contextError(ctx context.Context, a *SlotRequest) error {
	if ctx.Err() == context.Canceled {
		return result.Failed(result.Cancelled, "the caller went away")
	}
	return refuse(a, result.Overloaded, time.Second, "no slot came free before the deadline")
}
