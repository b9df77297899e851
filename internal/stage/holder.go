package stage

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// holder is a host that has jobs of this one.
type holder struct {
	host peer.Host
	jobs int
	// lost is closed when the holder is found silent.
	lost      chan struct{}
	downUntil time.Time
	// refused says that the host was lost by a broken connection rather than by
	// silence; it is passed over only until it answers again.
	refused bool
	// missed counts the looks without an answer in a row.
	missed int
}

// holderOf returns the host that forms the calls of service.
func (c *Client) holderOf(service string) peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pickHolder(service, now)
}

// pickHolder is holderOf with c.mu held.
func (c *Client) pickHolder(service string, now time.Time) peer.Host {
	members := c.Members.Members()
	for name, h := range c.holders {
		if h.downUntil.After(now) {
			members = members.Without(name)
		}
	}
	return members.Strong().Holder(service)
}

// enter notes a job at host and returns the channel that tells of its loss.
func (c *Client) enter(host peer.Host) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	h.jobs++
	return h.lost
}

// holder returns what is kept of host; c.mu is held.
func (c *Client) holder(host peer.Host) *holder {
	if c.holders == nil {
		c.holders = map[string]*holder{}
	}
	h := c.holders[host.Name]
	if h == nil {
		h = &holder{lost: make(chan struct{})}
		c.holders[host.Name] = h
	}
	h.host = host
	return h
}

func (c *Client) leave(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders[host.Name].jobs--
}

// passOver keeps new jobs from host for a while.
func (c *Client) passOver(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	h.downUntil, h.refused = c.Clock.Now().Add(downTime), false
}

// lose passes host over for a while and wakes its jobs; err is what it was lost
// by.
func (c *Client) lose(host peer.Host, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	if h.downUntil.After(c.Clock.Now()) {
		return
	}
	h.downUntil = c.Clock.Now().Add(downTime)
	h.refused = !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
	h.missed = 0
	close(h.lost)
	h.lost = make(chan struct{})
	c.Peers.Disconnect(host.Addr)
}

// Watch looks at the holders that have jobs of this host until ctx ends.
func (c *Client) Watch(ctx context.Context) error {
	ticks := c.Clock.Subscribe(ctx, pingInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			for _, host := range c.busy() {
				go c.look(ctx, host)
			}
			for _, host := range c.refused() {
				go c.lookAgain(ctx, host)
			}
		}
	}
}

// busy returns the holders that have jobs of this host or will have them.
func (c *Client) busy() []peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := map[string]peer.Host{}
	for _, h := range c.holders {
		if h.jobs > 0 && !h.downUntil.After(now) {
			hosts[h.host.Name] = h.host
		}
	}
	c.told = maps.Clone(c.coming)
	for service := range c.coming {
		h := c.pickHolder(service, now)
		hosts[h.Name] = h
	}
	return slices.Collect(maps.Values(hosts))
}

// refused returns the holders that are passed over until they answer again.
func (c *Client) refused() []peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []peer.Host
	for _, h := range c.holders {
		if h.refused && h.downUntil.After(now) {
			hosts = append(hosts, h.host)
		}
	}
	return hosts
}

// lookAgain takes a holder back that answers again. All hosts have to come back
// to it soon: each former that they use beside it fills fewer calls.
func (c *Client) lookAgain(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, host.Addr, serviceName+".Ping", &SignOfLife{Host: c.Self}, &map[string]Outlook{}); err != nil {
		c.Log.Debug("holder is still gone", zap.String("Holder", host.Name), journal.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	if h.refused {
		h.refused, h.downUntil = false, time.Time{}
		c.Log.Info("holder is back", zap.String("Holder", host.Name))
	}
}

// twice calls again when a connection broke: that is no proof that the holder is
// gone, and the second call goes over a new one.
func twice(ctx context.Context, call func() error) error {
	err := call()
	if err == nil || ctx.Err() != nil {
		return err
	}
	return call()
}

// look asks host for a sign of life.
func (c *Client) look(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	c.mu.Lock()
	sign := SignOfLife{Host: c.Self, Coming: maps.Clone(c.told)}
	c.mu.Unlock()
	if host.Name == c.Self {
		c.see(c.Former.outlooks(sign))
		return
	}
	var outlooks map[string]Outlook
	err := twice(ctx, func() error {
		outlooks = map[string]Outlook{}
		return c.Peers.Call(ctx, host.Addr, serviceName+".Ping", &sign, &outlooks)
	})
	if c.missed(host, err) {
		c.Log.Warn("holder is silent", zap.String("Holder", host.Name), journal.Error(err))
		c.lose(host, err)
	}
	if err == nil {
		c.see(outlooks)
	}
}

// missed notes the outcome of a look at host and reports whether it is lost. A
// host that can't be connected to is lost at once.
func (c *Client) missed(host peer.Host, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	if err == nil {
		h.missed = 0
		return false
	}
	h.missed++
	return h.missed >= maxMissed || !errors.Is(err, context.DeadlineExceeded)
}
