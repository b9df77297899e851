package queue

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// acquireOwn waits at this host's own board of the pool, which has this host's
// share of the slots.
func (d *Dispatcher) acquireOwn(ctx context.Context, a Ask) (*Grant, error) {
	b := d.ownBoard(a.Pool)
	answer := make(chan decision, 1)
	b.enqueue(&ticket{ask: a, deliver: func(x decision) { answer <- x }}, d.Clock.Now())
	select {
	case x := <-answer:
		d.hear(&a, x)
		return d.granted(&a, x, ownBoard{b})
	case <-ctx.Done():
		b.complete(a.AttemptID, Outcome{Kind: Abandoned}, d.Clock.Now())
		return nil, ended(ctx, &a)
	}
}

// ownBoard returns this host's board of pool with its present share.
func (d *Dispatcher) ownBoard(pool string) *board {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own == nil {
		d.own = map[string]*board{}
	}
	b := d.own[pool]
	if b == nil {
		b = newBoard(pool)
		d.own[pool] = b
	}
	b.update(ownSlots(d.Targets.Usable(pool, ""), d.Exchange.Members(), d.Exchange.Self.Name))
	return b
}

// granted turns a decision into a grant or an error. A target that is no
// longer usable here gets nothing.
func (d *Dispatcher) granted(a *Ask, x decision, from source) (*Grant, error) {
	if x.target == "" {
		return nil, refuse(a, x.code, x.retry, "%s", x.message)
	}
	t := d.Targets.Lookup(x.target)
	if t == nil {
		d.Done(&Grant{AttemptID: a.AttemptID, Ask: *a, from: from}, Outcome{Kind: Abandoned})
		return nil, refuse(a, result.NoTarget, 0, "target %s is leaving", x.target)
	}
	g := &Grant{AttemptID: a.AttemptID, Target: t, Ask: *a, At: d.Clock.Now(), Expected: x.expects, Long: x.long, from: from}
	d.note(g)
	return g, nil
}

// ended is the error of an Ask whose context ended before its grant.
func ended(ctx context.Context, a *Ask) error {
	if ctx.Err() == context.Canceled {
		return result.Failed(result.Cancelled, "the caller went away")
	}
	return refuse(a, result.Overloaded, time.Second, "no slot came free before the deadline")
}
