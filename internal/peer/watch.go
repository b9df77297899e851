package peer

import (
	"context"
	"errors"
	"time"
)

// checkNeighbour sends a heartbeat to h. If that fails and indirect probes fail
// too, it marks h as suspected. It runs in its own goroutine.
func (x *Exchange) checkNeighbour(h Host, beat Beat) {
	reply, err := x.sendBeat(h, beat)
	if err == nil {
		x.do(func() { x.handleBeat(reply) })
		return
	}
	if x.ctx.Err() != nil || x.probeIndirectly(h) {
		return
	}
	x.do(func() { x.suspect(h) })
}

// suspect marks h as suspected, unless it is no longer alive in the table or has
// been seen in another incarnation meanwhile.
func (x *Exchange) suspect(h Host) {
	e := x.table.entries[h.Name]
	if e == nil || e.State != Alive || e.Host.Incarnation != h.Incarnation {
		return
	}
	u := e.Update
	u.State = Suspect
	x.merge([]Update{u}, nil)
}

// probeIndirectly asks up to indirectProbes other hosts to send a heartbeat to h
// and reports whether any of them gets a reply.
func (x *Exchange) probeIndirectly(h Host) bool {
	var helpers []Host
	x.do(func() { helpers = x.randomMembers(indirectProbes, h.Name) })
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			var reply ProbeReply
			err := x.call(helper, 2*beatTimeout, probeMethod, Probe{Host: h}, &reply)
			answers <- err == nil && reply.Answered
		}()
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// randomMembers returns up to count random members other than this host and the
// one named except.
func (x *Exchange) randomMembers(count int, except string) []Host {
	var out []Host
	hosts := x.Members().Hosts
	for _, i := range x.rand.Perm(len(hosts)) {
		if len(out) == count {
			break
		}
		if h := hosts[i]; h.Name != except && h.Name != x.Self.Name {
			out = append(out, h)
		}
	}
	return out
}

// ping sends a heartbeat to h on behalf of another host.
func (x *Exchange) ping(h Host) error {
	var beat Beat
	if err := x.do(func() { beat = x.beat() }); err != nil {
		return err
	}
	_, err := x.sendBeat(h, beat)
	return err
}

func (x *Exchange) sendBeat(h Host, beat Beat) (Beat, error) {
	var reply Beat
	if err := x.call(h, beatTimeout, beatMethod, beat, &reply); err != nil {
		// A late response may still be written to reply.
		return Beat{}, err
	}
	return reply, nil
}

// sendPush sends msg to h, and once more if there is no reply, since the connection
// may have gone silent for good. Further errors are ignored: the digests of later
// heartbeats reveal what was lost.
func (x *Exchange) sendPush(h Host, msg Push) {
	err := x.call(h, beatTimeout, pushMethod, msg, &PushReply{})
	if errors.Is(err, context.DeadlineExceeded) {
		x.call(h, beatTimeout, pushMethod, msg, &PushReply{})
	}
}

// call calls a method of h that it answers at once. Without a reply it closes the
// connection.
func (x *Exchange) call(h Host, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	return x.Caller.CallOrDisconnect(ctx, h.Addr, method, args, reply)
}

// sync exchanges the whole state with h in the background.
func (x *Exchange) sync(h Host) {
	args := Sync{Updates: x.table.updates(), NoteIDs: x.notes.ids()}
	go func() {
		var reply SyncReply
		if err := x.call(h, syncTimeout, syncMethod, args, &reply); err != nil {
			return
		}
		x.do(func() {
			x.lastContact.Store(x.Clock.Now().UnixNano())
			x.merge(reply.Updates, reply.Notes)
		})
	}()
}

// join contacts every seed at once: until one replies, this host believes that
// it holds every key.
func (x *Exchange) join() {
	x.joinAttempts++
	for _, s := range x.Seeds {
		x.sync(s)
	}
}

// reconnect contacts one random host that is dead, or a seed that is unknown or
// dead, so that the sides of a network partition merge once it is healed. With
// no neighbours it also tries the hosts that Discover returns.
func (x *Exchange) reconnect() {
	if x.left {
		return
	}
	var candidates []Host
	for _, s := range x.Seeds {
		if e := x.table.entries[s.Name]; e == nil || e.State == Dead {
			candidates = append(candidates, s)
		}
	}
	candidates = append(candidates, x.table.dead()...)
	if len(candidates) > 0 {
		x.sync(candidates[x.rand.IntN(len(candidates))])
	}
	if x.Discover != nil && len(x.neighbours) == 0 {
		go x.discover()
	}
}

// discover asks the platform for hosts and syncs with up to indirectProbes of
// them, chosen at random.
func (x *Exchange) discover() {
	ctx, cancel := context.WithTimeout(x.ctx, syncTimeout)
	defer cancel()
	hosts, err := x.Discover(ctx)
	if err != nil {
		return
	}
	x.do(func() {
		for _, i := range x.rand.Perm(len(hosts))[:min(indirectProbes, len(hosts))] {
			if hosts[i].Name != x.Self.Name {
				x.sync(hosts[i])
			}
		}
	})
}
