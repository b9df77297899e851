package backpressure

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Times and bounds of the client.
const (
	// renewInterval is the time between two renewals of a lease, renewTimeout bounds
	// each. A holder is given up after maxMissed without a reply.
	renewInterval = 500 * time.Millisecond
	renewTimeout  = 350 * time.Millisecond
	maxMissed     = 2
	// takeTimeout bounds a call that asks for a turn.
	takeTimeout = 150 * time.Millisecond
	// skipTime is how long a holder that was given up is passed over.
	skipTime = 3 * time.Second
)

// Caller makes RPC calls to other hosts.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
	// CallOrDisconnect is like Call but closes the connection if there is no reply before
	// ctx ends.
	CallOrDisconnect(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Client leases this host's share of the limits to the holders of services, and asks
// them for the turns of requests. Exported fields are set before Run.
type Client struct {
	Self  string
	Clock *clock.Service
	Log   *zap.Logger
	Table *Table
	// Holders picks the holder of a service.
	Holders *peer.Picker
	Peers   Caller
	// Holder is that of this host.
	Holder *Holder
	// Hosts returns the number of hosts that share the limits.
	Hosts func() int

	// startedAt is the time at which Run began.
	startedAt time.Time

	mu     sync.Mutex
	leases map[string]*heldLease
}

// heldLease is the lease of this host's share of the limits of one service.
type heldLease struct {
	// mu is held during calls that change the lease.
	mu     sync.Mutex
	holder peer.Host
	// until is the time until which holder may use the share.
	until  time.Time
	missed int
}

// Run renews the leases until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.startedAt = c.Clock.Now()
	c.Table.notifyLimits(func(service string) { go c.renewTwice(ctx, service) })
	ticks := c.Clock.Subscribe(ctx, renewInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			for service := range c.Table.limitedServices() {
				go c.renew(ctx, service)
			}
		}
	}
}

// renewTwice renews the lease of service now and again after coldLeaseDelay. A new lease
// counts for cold targets only from its first renewal after that delay, and waiting for
// the next tick of Run would leave cold targets without work for longer.
func (c *Client) renewTwice(ctx context.Context, service string) {
	c.renew(ctx, service)
	if c.Clock.Sleep(ctx, coldLeaseDelay) == nil {
		c.renew(ctx, service)
	}
}

// lease returns the lease of service.
func (c *Client) lease(service string) *heldLease {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leases == nil {
		c.leases = map[string]*heldLease{}
	}
	l := c.leases[service]
	if l == nil {
		l = &heldLease{}
		c.leases[service] = l
	}
	return l
}

// renew renews the lease of service. A share goes to another holder only when the one
// before has returned it, or can no longer use it.
func (c *Client) renew(ctx context.Context, service string) {
	l := c.lease(service)
	if !l.mu.TryLock() {
		return
	}
	defer l.mu.Unlock()
	holder := c.Holders.Holder(service)
	if l.holder.Name != holder.Name {
		if c.Clock.Now().Before(l.until) && c.call(ctx, l.holder, c.renewal(service, true)) != nil {
			return
		}
		c.Log.Info("share of limits goes to another holder", zap.String("Service", service), zap.String("Holder", holder.Name), zap.String("Former", l.holder.Name))
		l.holder, l.missed = holder, 0
	}
	l.until = c.Clock.Now().Add(renewTimeout + leaseTime)
	err := c.call(ctx, holder, c.renewal(service, false))
	if err == nil {
		l.missed = 0
		return
	}
	l.missed++
	c.Log.Info("holder of limits did not answer", zap.String("Service", service), zap.String("Holder", holder.Name), zap.Int("Missed", l.missed), journal.Error(err))
	if l.missed >= maxMissed {
		c.Holders.Skip(holder, skipTime)
	}
}

func (c *Client) renewal(service string, ends bool) *Renewal {
	return &Renewal{
		Host:    c.Self,
		Service: service,
		Hosts:   c.Hosts(),
		Limits:  c.Table.limits()[service],
		Cold:    c.Table.serviceNotices(service),
		Fresh:   c.Clock.Since(c.startedAt) < leaseTime+renewTimeout,
		Return:  ends,
	}
}

// call sends r to holder.
func (c *Client) call(ctx context.Context, holder peer.Host, r *Renewal) error {
	if holder.Name == c.Self {
		c.Holder.renew(r)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return c.Peers.CallOrDisconnect(ctx, holder.Addr, rpcName+".Renew", r, &Empty{})
}

// Take asks for a turn at one of targets, which are in the order of preference. The
// request may wait for at most maxWait. Without a reply there is none.
func (c *Client) Take(ctx context.Context, service string, targets []*catalog.Target, maxWait time.Duration) Grant {
	ask := &Ask{Service: service, MaxWait: maxWait, Cold: c.Table.targetNotices(targets)}
	for _, t := range targets {
		ask.Targets = append(ask.Targets, Candidate{t.ID, t.Born})
	}
	holder := c.Holders.Holder(service)
	if holder.Name == c.Self {
		return c.Holder.take(ask)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	grant := &Grant{}
	if err := c.Peers.Call(ctx, holder.Addr, rpcName+".Take", ask, grant); err != nil {
		c.Log.Info("holder of limits gave no turn", zap.String("Service", service), zap.String("Holder", holder.Name), journal.Error(err))
		return Grant{Wait: renewInterval}
	}
	return *grant
}
