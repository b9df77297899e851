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
type holderState struct {
	host peer.Host
	jobs int
	// lost is closed when the holder is found silent.
	lost      chan struct{}
	skipUntil time.Time
	// refused says that the host was lost by a broken connection rather than by
	// silence; it is passed over only until it answers again.
	disconnected bool
	// missed counts the looks without an answer in a row.
	missedPings int
}

// holderOf returns the host that forms the calls of service.
func (c *Client) holderOf(service string) peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderOfLocked(service, now)
}

// pickHolder is holderOf with c.mu held.
func (c *Client) holderOfLocked(service string, now time.Time) peer.Host {
	members := c.Members.Members()
	for name, h := range c.holders {
		if h.skipUntil.After(now) {
			members = members.Without(name)
		}
	}
	return members.Strong().Holder(service)
}

// enter notes a job at host and returns the channel that tells of its loss.
func (c *Client) addJob(host peer.Host) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	h.jobs++
	return h.lost
}

// holder returns what is kept of host; c.mu is held.
func (c *Client) holderState(host peer.Host) *holderState {
	if c.holders == nil {
		c.holders = map[string]*holderState{}
	}
	h := c.holders[host.Name]
	if h == nil {
		h = &holderState{lost: make(chan struct{})}
		c.holders[host.Name] = h
	}
	h.host = host
	return h
}

func (c *Client) removeJob(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders[host.Name].jobs--
}

// passOver keeps new jobs from host for a while.
func (c *Client) skip(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	h.skipUntil, h.disconnected = c.Clock.Now().Add(skipTime), false
}

// lose passes host over for a while and wakes its jobs; err is what it was lost
// by.
func (c *Client) markLost(host peer.Host, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	if h.skipUntil.After(c.Clock.Now()) {
		return
	}
	h.skipUntil = c.Clock.Now().Add(skipTime)
	h.disconnected = !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
	h.missedPings = 0
	close(h.lost)
	h.lost = make(chan struct{})
	c.Peers.Forget(host.Addr)
}

// Watch looks at the holders that have jobs of this host until ctx ends.
func (c *Client) Watch(ctx context.Context) error {
	ticks := c.Clock.Subscribe(ctx, pingInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			for _, host := range c.activeHolders() {
				go c.ping(ctx, host)
			}
			for _, host := range c.disconnectedHolders() {
				go c.pingDisconnected(ctx, host)
			}
		}
	}
}

// busy returns the holders that have jobs of this host or will have them.
func (c *Client) activeHolders() []peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := map[string]peer.Host{}
	for _, h := range c.holders {
		if h.jobs > 0 && !h.skipUntil.After(now) {
			hosts[h.host.Name] = h.host
		}
	}
	c.reportedUpcoming = maps.Clone(c.upcoming)
	for service := range c.upcoming {
		h := c.holderOfLocked(service, now)
		hosts[h.Name] = h
	}
	return slices.Collect(maps.Values(hosts))
}

// refused returns the holders that are passed over until they answer again.
func (c *Client) disconnectedHolders() []peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []peer.Host
	for _, h := range c.holders {
		if h.disconnected && h.skipUntil.After(now) {
			hosts = append(hosts, h.host)
		}
	}
	return hosts
}

// lookAgain takes a holder back that answers again. All hosts have to come back
// to it soon: each former that they use beside it fills fewer calls.
func (c *Client) pingDisconnected(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, host.Addr, rpcName+".Ping", &SignOfLife{Host: c.Self}, &map[string]Outlook{}); err != nil {
		c.Log.Debug("holder is still gone", zap.String("Holder", host.Name), journal.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	if h.disconnected {
		h.disconnected, h.skipUntil = false, time.Time{}
		c.Log.Info("holder is back", zap.String("Holder", host.Name))
	}
}

// twice calls again when a connection broke: that is no proof that the holder is
// gone, and the second call goes over a new one.
func retryOnce(ctx context.Context, call func() error) error {
	err := call()
	if err == nil || ctx.Err() != nil {
		return err
	}
	return call()
}

// look asks host for a sign of life.
func (c *Client) ping(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	c.mu.Lock()
	sign := SignOfLife{Host: c.Self, Coming: maps.Clone(c.reportedUpcoming)}
	c.mu.Unlock()
	if host.Name == c.Self {
		c.storeEstimates(c.Batcher.waitEstimates(sign))
		return
	}
	var outlooks map[string]Outlook
	err := retryOnce(ctx, func() error {
		outlooks = map[string]Outlook{}
		return c.Peers.Call(ctx, host.Addr, rpcName+".Ping", &sign, &outlooks)
	})
	if c.recordPing(host, err) {
		c.Log.Warn("holder is silent", zap.String("Holder", host.Name), journal.Error(err))
		c.markLost(host, err)
	}
	if err == nil {
		c.storeEstimates(outlooks)
	}
}

// missed notes the outcome of a look at host and reports whether it is lost. A
// host that can't be connected to is lost at once.
func (c *Client) recordPing(host peer.Host, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	if err == nil {
		h.missedPings = 0
		return false
	}
	h.missedPings++
	return h.missedPings >= maxMissedPings || !errors.Is(err, context.DeadlineExceeded)
}
