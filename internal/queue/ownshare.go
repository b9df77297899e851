package queue

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// acquireOwnShare waits for a slot from this host's local scheduler of the pool,
// which has this host's share of the slots.
func (d *Dispatcher) acquireOwnShare(ctx context.Context, a SlotRequest) (*Grant, error) {
	s := d.localScheduler(a.Pool)
	answer := make(chan decision, 1)
	s.enqueue(&ticket{request: a, deliver: func(x decision) { answer <- x }}, d.Clock.Now())
	select {
	case x := <-answer:
		d.recordWaitEstimate(&a, x)
		return d.toGrant(&a, x, localSource{s})
	case <-ctx.Done():
		s.complete(a.AttemptID, Outcome{Kind: Abandoned}, d.Clock.Now())
		return nil, contextError(ctx, &a)
	}
}

// localScheduler is a host's scheduler of its own share, with the targets and
// members from which the share was computed.
type localScheduler struct {
	*scheduler
	builtFrom []*declaration.Target
	members   *peer.Members
}

// localScheduler returns this host's scheduler of pool, updated to its present
// share.
func (d *Dispatcher) localScheduler(pool string) *scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localSchedulers == nil {
		d.localSchedulers = map[string]*localScheduler{}
	}
	s := d.localSchedulers[pool]
	if s == nil {
		s = &localScheduler{scheduler: newScheduler(pool)}
		d.localSchedulers[pool] = s
	}
	usable, members := d.Targets.Usable(pool, ""), d.Exchange.Members()
	if s.members != members || !sameList(s.builtFrom, usable) {
		s.builtFrom, s.members = usable, members
		s.update(ownSlots(usable, members, d.Exchange.Self.Name))
	}
	return s.scheduler
}

// toGrant turns a decision into a grant or an error. It returns the slot of a
// target that is no longer usable here.
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

// contextError returns the error of a request whose context ended before its
// grant.
func contextError(ctx context.Context, a *SlotRequest) error {
	if ctx.Err() == context.Canceled {
		return result.Failed(result.Cancelled, "the caller disconnected")
	}
	return refuse(a, result.Overloaded, time.Second, "no slot became free before the deadline")
}
