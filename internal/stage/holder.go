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

// holderState is the state that a Client keeps of a holder.
type holderState struct {
	host peer.Host
	jobs int
	// lost is closed when the holder is found not to answer.
	lost      chan struct{}
	skipUntil time.Time
	// disconnected reports whether the host was lost by a broken connection rather
	// than by a timeout; it is skipped only until it answers again.
	disconnected bool
	// missedPings counts consecutive pings without an answer.
	missedPings int
}

// holderOf returns the host that forms the calls of service.
func (c *Client) holderOf(service string) peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holderOfLocked(service, now)
}

// holderOfLocked is holderOf with c.mu held.
func (c *Client) holderOfLocked(service string, now time.Time) peer.Host {
	members := c.Members.Members()
	for name, h := range c.holders {
		if h.skipUntil.After(now) {
			members = members.Without(name)
		}
	}
	return members.Strong().Holder(service)
}

// addJob counts a job at host and returns a channel that is closed when the host
// is lost.
func (c *Client) addJob(host peer.Host) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	h.jobs++
	return h.lost
}

// holderState returns the state of host; c.mu is held.
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

// skip sends no new jobs to host for skipTime.
func (c *Client) skip(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holderState(host)
	h.skipUntil, h.disconnected = c.Clock.Now().Add(skipTime), false
}

// markLost skips host for skipTime and wakes the jobs that wait for it; err is
// the error by which it was lost.
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
	c.Peers.Disconnect(host.Addr)
}

// Watch pings the holders that have jobs of this host until ctx ends.
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

// activeHolders returns the holders that have jobs of this host or will have
// them. It also copies upcoming for the pings that report it to them.
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
	for service := range c.openByService(now) {
		h := c.holderOfLocked(service, now)
		hosts[h.Name] = h
	}
	return slices.Collect(maps.Values(hosts))
}

// disconnectedHolders returns the holders that are skipped until they answer
// again.
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

// pingDisconnected uses a skipped holder again once it answers. All hosts have to
// return to it soon: each further batcher that they use fills fewer calls.
func (c *Client) pingDisconnected(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, host.Addr, rpcName+".Ping", &SignOfLife{Host: c.Self}, &map[string]Outlook{}); err != nil {
		c.Log.Debug("holder still does not answer", zap.String("Holder", host.Name), journal.Error(err))
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

// retryOnce repeats a failed call once unless ctx has ended. A broken connection
// does not prove that the holder is gone, and the second call uses a new one.
func retryOnce(ctx context.Context, call func() error) error {
	err := call()
	if err == nil || ctx.Err() != nil {
		return err
	}
	return call()
}

// ping sends host a heartbeat and stores the wait estimates that it returns.
func (c *Client) ping(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	now := c.Clock.Now()
	c.mu.Lock()
	heartbeat := SignOfLife{Host: c.Self, Coming: maps.Clone(c.reportedUpcoming), Reserves: c.Admission.records(), Reservations: c.openAt(host, now)}
	c.mu.Unlock()
	if host.Name == c.Self {
		c.storeEstimates(c.Batcher.waitEstimates(heartbeat))
		return
	}
	var estimates map[string]Outlook
	err := retryOnce(ctx, func() error {
		estimates = map[string]Outlook{}
		return c.Peers.Call(ctx, host.Addr, rpcName+".Ping", &heartbeat, &estimates)
	})
	switch {
	case err == nil:
		c.recordPing(host, nil)
		c.storeEstimates(estimates)
	case c.recordPing(host, err):
		c.Log.Warn("holder is silent", zap.String("Holder", host.Name), journal.Error(err))
		c.markLost(host, err)
	default:
		// The connection may have gone silent for good while new ones work. The next
		// ping and the jobs, which the batcher knows by their IDs, use a new one.
		c.Peers.Disconnect(host.Addr)
	}
}

// recordPing records the outcome of a ping and reports whether host is lost. A
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
