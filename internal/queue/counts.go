package queue

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
)

// Bounds of the exchange of counts. countsTimeout limits a call and the age of
// another host's counts.
const (
	countsPeriod  = 250 * time.Millisecond
	countsTimeout = 2 * time.Second
)

// counts holds the outstanding attempts by target.
type counts struct {
	own    map[string]int
	others map[string]peerCounts // by host
	sent   time.Time
}

type peerCounts struct {
	at       time.Time
	byTarget map[string]int
}

// pickTarget chooses a target without waiting and counts the attempt.
func (d *Dispatcher) pickTarget(a SlotRequest) (*Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := without(d.Targets.Usable(a.Pool, a.Model), a.Exclude)
	if len(usable) == 0 {
		return nil, refuse(&a, result.NoTarget, 0, "no usable target in pool %s", a.Pool)
	}
	t := d.choose(usable)
	if d.counts.own == nil {
		d.counts.own = map[string]int{}
	}
	d.counts.own[t.Name]++
	return &Grant{AttemptID: a.AttemptID, Target: t, Request: a, GrantedAt: d.Clock.Now(), source: countedSource{}}, nil
}

func (d *Dispatcher) choose(usable []*declaration.Target) *declaration.Target {
	a := usable[d.Rand.IntN(len(usable))]
	if _, ok := d.Policy.(Random); ok {
		return a
	}
	b := usable[d.Rand.IntN(len(usable))]
	if d.counts.outstanding(b.Name)*a.Slots < d.counts.outstanding(a.Name)*b.Slots {
		return b
	}
	return a
}

func (c *counts) outstanding(name string) int {
	n := c.own[name]
	for _, o := range c.others {
		n += o.byTarget[name]
	}
	return n
}

// releaseCount removes a finished attempt from the counts.
func (d *Dispatcher) releaseCount(g *Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.own[g.Target.Name]--
	if d.counts.own[g.Target.Name] <= 0 {
		delete(d.counts.own, g.Target.Name)
	}
}

// exchangeCounts sends this host's counts to every other host once per
// countsPeriod.
func (d *Dispatcher) exchangeCounts(ctx context.Context, now time.Time) {
	d.mu.Lock()
	due := now.Sub(d.counts.sent) >= countsPeriod
	if due {
		d.counts.sent = now
	}
	args := &CountsArgs{Host: d.Exchange.Self.Name, Counts: map[string]int{}}
	for name, n := range d.counts.own {
		args.Counts[name] = n
	}
	d.mu.Unlock()
	if !due {
		return
	}
	for _, h := range d.Exchange.Members().Hosts {
		if h.Name != args.Host {
			go d.sendCounts(ctx, h, args)
		}
	}
}

func (d *Dispatcher) sendCounts(ctx context.Context, h peer.Host, args *CountsArgs) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	// The next message makes up for a lost one.
	_ = d.Caller.Call(ctx, h.Addr, rpcName+".Counts", args, &CountsReply{})
}

// storeCounts stores the counts of another host, and removes silent hosts.
func (d *Dispatcher) storeCounts(args *CountsArgs) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts.others == nil {
		d.counts.others = map[string]peerCounts{}
	}
	d.counts.others[args.Host] = peerCounts{at: now, byTarget: args.Counts}
	for name, c := range d.counts.others {
		if now.Sub(c.at) > countsTimeout {
			delete(d.counts.others, name)
		}
	}
}

func without(targets []*declaration.Target, names []string) []*declaration.Target {
	if len(names) == 0 {
		return targets
	}
	var out []*declaration.Target
	for _, t := range targets {
		if !contains(names, t.Name) {
			out = append(out, t)
		}
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
