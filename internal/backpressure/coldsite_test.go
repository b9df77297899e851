package backpressure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// coldSite is several hosts with their tables, holders and clients, which call each
// other without a network, and targets that are cold from time to time.
type coldSite struct {
	t      *testing.T
	random *rand.Rand
	hosts  []*coldHost

	mu      sync.Mutex
	targets []*coldTarget
	// done lists the actions of the test for its failure message.
	done []string
}

// coldHost is one host. Its fields are guarded by the site's mu.
type coldHost struct {
	site   *coldSite
	name   string
	addr   netip.AddrPort
	table  *Table
	holder *Holder
	client *Client
	clock  *clock.Service
	ctx    context.Context
	stop   context.CancelFunc
	// side identifies the part of a partition in which the host is. known is the number of
	// hosts that it sees.
	side  int
	known int
	down  bool
	// snapshot holds the entries that the host has read.
	snapshot *catalog.Snapshot
}

// coldArrival is a request that reached a target.
type coldArrival struct {
	at   time.Time
	host string
	turn Turn
}

// String returns how long after asking the request arrived, and with which turn.
func (a coldArrival) String() string {
	return fmt.Sprintf("%s cold=%t wait=%v after=%v", a.host, a.turn.Cold, a.turn.Wait, a.at.Sub(a.turn.AskedAt))
}

// coldTarget is a target and what reached it while it was cold.
type coldTarget struct {
	entry *catalog.Target
	// written holds the times at which the entries after the first were written, by
	// sequence less one.
	written  []time.Time
	arrivals []coldArrival
	// cold holds the times from which all hosts must know that the target is cold,
	// and their ends.
	cold [][2]time.Time
}

// delay returns a random delay of a message.
func (s *coldSite) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(50) == 0 {
		return time.Duration(s.random.IntN(200)) * time.Millisecond
	}
	return time.Duration(s.random.IntN(10)) * time.Millisecond
}

// cut reports whether a and b can't reach each other.
func (s *coldSite) cut(a, b *coldHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.side != b.side || a.down || b.down
}

// siteCaller calls the hosts of a site.
type siteCaller struct{ from *coldHost }

func (c siteCaller) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	s := c.from.site
	i := slices.IndexFunc(s.hosts, func(h *coldHost) bool { return h.addr == addr })
	to := s.hosts[i]
	s.mu.Lock()
	service := &Service{to.holder}
	s.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		time.Sleep(s.delay())
		if s.cut(c.from, to) {
			return
		}
		var err error
		var grant Grant
		switch a := args.(type) {
		case *Renewal:
			err = service.Renew(a, &Empty{})
		case *Ask:
			err = service.Take(a, &grant)
		default:
			err = fmt.Errorf("unknown call %s", method)
		}
		time.Sleep(s.delay())
		if s.cut(c.from, to) {
			return
		}
		if g, ok := reply.(*Grant); ok && ctx.Err() == nil {
			*g = grant
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c siteCaller) CallOrDisconnect(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	return c.Call(ctx, addr, method, args, reply)
}

// maxSkew bounds the difference of a host's clock, which must not matter.
const maxSkew = time.Hour

// start starts a process of h, which reads the present entries of all targets.
func (h *coldHost) start(ctx context.Context) {
	s := h.site
	ctx, stop := context.WithCancel(ctx)
	c := &clock.Service{Skew: time.Duration(s.intN(int(2*maxSkew))) - maxSkew}
	table := &Table{Clock: c, Log: zap.NewNop(), Cold: ColdBounds{1.5, 5}, Catalog: func() *catalog.Snapshot {
		s.mu.Lock()
		defer s.mu.Unlock()
		return h.snapshot
	}}
	hosts := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return h.known
	}
	holder := &Holder{Clock: c, Log: zap.NewNop(), Table: table, Hosts: hosts}
	client := &Client{Self: h.name, Clock: c, Log: zap.NewNop(), Table: table, Peers: siteCaller{h}, Holder: holder, Hosts: hosts,
		Holders: &peer.Picker{Clock: c, Members: h.members}}
	s.mu.Lock()
	h.ctx, h.stop, h.clock, h.table, h.holder, h.client, h.down = ctx, stop, c, table, holder, client, false
	h.snapshot = coldServiceSnapshot()
	targets := slices.Clone(s.targets)
	s.mu.Unlock()
	for _, t := range targets {
		h.read(t)
	}
	go client.Run(ctx)
}

// members returns the hosts that h reaches.
func (h *coldHost) members() *peer.Members {
	s := h.site
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []peer.Host
	for _, other := range s.hosts {
		if other == h || other.side == h.side && !other.down {
			out = append(out, peer.Host{Name: other.name, Addr: other.addr, Strength: 1})
		}
	}
	return peer.NewMembers(out)
}

// read applies the entry of t at h.
func (h *coldHost) read(t *coldTarget) {
	s := h.site
	s.mu.Lock()
	entry, table := t.entry, h.table
	s.mu.Unlock()
	table.ObserveEntry(entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := slices.DeleteFunc(slices.Clone(h.snapshot.Targets["s"]), func(other *catalog.Target) bool { return other.ID == entry.ID })
	h.snapshot = coldServiceSnapshot(append(targets, entry)...)
}

// readDelay bounds the time until all hosts have read an entry.
const readDelay = 300 * time.Millisecond

// write writes a new entry of t with a remaining cold time of d.
func (s *coldSite) write(t *coldTarget, d time.Duration, restarted bool) {
	s.mu.Lock()
	now := time.Now()
	entry := *t.entry
	entry.Sequence++
	entry.Cold = catalog.Cold{Known: true, Left: d}
	if restarted {
		entry.Born++
	}
	t.entry, t.written = &entry, append(t.written, now)
	t.recordCold(now, d)
	s.mu.Unlock()
	for _, h := range s.hosts {
		time.AfterFunc(time.Duration(s.intN(int(readDelay))), func() { h.read(t) })
	}
}

// recordCold records that t is cold for d from now on. If the former cold time lasts until
// all hosts have read this one, no host takes t for warm between them, so that they are
// recorded as one.
func (t *coldTarget) recordCold(now time.Time, d time.Duration) {
	// Requests sent before the last host has read the entry may arrive later.
	known := now.Add(readDelay + arrivalDelay)
	if n := len(t.cold); n > 0 && t.cold[n-1][1].After(now) {
		if t.cold[n-1][1].After(known) {
			t.cold[n-1][1] = now.Add(d)
			return
		}
		t.cold[n-1][1] = now
	}
	t.cold = append(t.cold, [2]time.Time{known, now.Add(d)})
}

// register registers a new target that is cold for d. Hosts that have not read its entry
// yet can't send to it, so that the bound holds from the first moment on.
func (s *coldSite) register(d time.Duration) {
	s.mu.Lock()
	now := time.Now()
	entry := &catalog.Target{ID: fmt.Sprint("t", len(s.targets)), Service: "s", Born: 1, Cold: catalog.Cold{Known: true, Left: d}}
	t := &coldTarget{entry: entry, cold: [][2]time.Time{{now, now.Add(d)}}}
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	for _, h := range s.hosts {
		time.AfterFunc(time.Duration(s.intN(int(readDelay))), func() { h.read(t) })
	}
}

// arrivalDelay bounds the time from sending a request to its arrival at the target.
const arrivalDelay = 50 * time.Millisecond

// send sends one request of h, as a gateway does: to a target without a limit at once,
// and otherwise with a turn.
func (s *coldSite) send(h *coldHost) {
	s.mu.Lock()
	if h.down || len(h.snapshot.Targets["s"]) == 0 {
		s.mu.Unlock()
		return
	}
	targets, table, client, c, ctx := h.snapshot.Targets["s"], h.table, h.client, h.clock, h.ctx
	t := targets[s.random.IntN(len(targets))]
	maxWait := time.Duration(s.random.IntN(2000)) * time.Millisecond
	transit := time.Duration(s.random.Int64N(int64(arrivalDelay)))
	s.mu.Unlock()
	turn := Turn{AskedAt: c.Now()}
	if table.Limited(t) {
		grant := client.Take(ctx, "s", []*catalog.Target{t}, maxWait)
		if grant.Target == "" || c.Sleep(ctx, grant.Wait) != nil {
			return
		}
		turn.Wait, turn.Cold = grant.Wait, grant.Cold
	}
	s.mu.Lock()
	read := h.sequenceOf(t.ID)
	s.mu.Unlock()
	if !table.TurnHolds(t, turn) || ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	i := slices.IndexFunc(s.targets, func(other *coldTarget) bool { return other.entry.ID == t.ID })
	target := s.targets[i]
	behind := int(read) < len(target.written) && time.Since(target.written[read]) > readDelay
	s.mu.Unlock()
	if behind {
		// The host was frozen and had not read the entry when it checked the turn, so it
		// could not know of the cold time.
		return
	}
	time.Sleep(transit)
	s.mu.Lock()
	defer s.mu.Unlock()
	turn.AskedAt = turn.AskedAt.Add(-c.Skew)
	target.arrivals = append(target.arrivals, coldArrival{time.Now(), h.name, turn})
}

// sequenceOf returns the sequence of the entry of a target that h has read. The site's
// mu is held.
func (h *coldHost) sequenceOf(id string) int64 {
	return catalog.FindTarget(h.snapshot.Targets["s"], id).Sequence
}

// maxFaultMS bounds the duration of a fault in milliseconds. In the longest one, each of
// the hosts that are alone could earn a whole turn.
const maxFaultMS = 7000

// fault harms a host and returns what it did.
func (s *coldSite) fault(ctx context.Context) string {
	h := s.hosts[s.intN(len(s.hosts))]
	d := time.Duration(100+s.intN(maxFaultMS)) * time.Millisecond
	switch s.intN(6) {
	case 0:
		s.mu.Lock()
		h.down, h.known = true, 1
		h.stop()
		s.mu.Unlock()
		time.Sleep(d / 2)
		h.start(ctx)
		time.AfterFunc(joinTime, func() { h.setKnown(len(s.hosts)) })
		return fmt.Sprintf("%s killed and started after %v", h.name, d/2)
	case 1:
		h.clock.Suspend()
		time.Sleep(d)
		h.clock.Resume()
		return fmt.Sprintf("%s frozen for %v", h.name, d)
	case 2:
		known := len(s.hosts) + s.intN(3)
		h.setKnown(known)
		return fmt.Sprintf("%s knows of %d hosts", h.name, known)
	default:
		sides := 2 + s.intN(len(s.hosts))
		s.mu.Lock()
		for i, other := range s.hosts {
			other.side = i % sides
		}
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
		for _, other := range s.hosts {
			other.side = 0
		}
		s.mu.Unlock()
		return fmt.Sprintf("%d sides for %v", sides, d)
	}
}

// joinTime is the time after its start for which a process sees no other host.
const joinTime = time.Second

func (h *coldHost) setKnown(n int) {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	h.known = n
}

// check counts the arrivals in each window of a second in which the target was cold.
func (c *coldTarget) check(s *coldSite) {
	for _, cold := range c.cold {
		for i, from := range c.arrivals {
			if from.at.Before(cold[0]) || from.at.Add(time.Second).After(cold[1]) {
				continue
			}
			n := 0
			for n < len(c.arrivals[i:]) && c.arrivals[i+n].at.Sub(from.at) < time.Second {
				n++
			}
			if n > coldMost {
				s.t.Errorf("target %s got %d requests in a second, %v after it was known to be cold, want at most %v: %v",
					c.entry.ID, n, from.at.Sub(cold[0]), coldMost, c.arrivals[i:i+n])
				return
			}
		}
	}
}

// TestColdTargetsWhileHostsFail kills, freezes and partitions hosts, and lets them differ
// in the number of hosts that they see, while targets become cold, restart and become
// warm. No cold target may get more requests in any second than it tolerates.
func TestColdTargetsWhileHostsFail(t *testing.T) {
	for seed := range uint64(*coldSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runColdSite(t, seed) })
		})
	}
}

// sendsBetweenPauses is the mean number of sends before a pause. Quotas earn tokens in
// pauses, so that bursts follow.
const sendsBetweenPauses = 600

// manyHosts is a number of hosts that exceed the bound if each sends one request.
const manyHosts = 30

func runColdSite(t *testing.T, seed uint64) {
	const targets, duration, sendInterval = 3, 40 * time.Second, 2 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 0))
	s := &coldSite{t: t, random: random}
	ctx, stop := context.WithCancel(t.Context())
	hosts := 1 + random.IntN(8)
	if seed%3 == 0 {
		hosts = manyHosts
	}
	for i := range hosts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		s.hosts = append(s.hosts, &coldHost{site: s, name: fmt.Sprint("h", i), addr: addr, known: hosts})
	}
	for i := range targets {
		s.targets = append(s.targets, &coldTarget{entry: &catalog.Target{ID: fmt.Sprint("t", i), Service: "s", Born: 1, Cold: catalog.Cold{Known: true}}})
	}
	for _, h := range s.hosts {
		h.start(ctx)
	}
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(200+s.intN(2000)) * time.Millisecond)
			at := duration - time.Until(end)
			s.done = append(s.done, fmt.Sprint(at, " ", s.fault(ctx)))
		}
	})
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(s.intN(1500)) * time.Millisecond)
			d := time.Duration(s.intN(12000)) * time.Millisecond
			if s.intN(5) == 0 {
				s.register(d)
			} else {
				s.write(s.targets[s.intN(targets)], d, s.intN(3) == 0)
			}
		}
	})
	for time.Now().Before(end) {
		h := s.hosts[s.intN(hosts)]
		wg.Go(func() { s.send(h) })
		time.Sleep(sendInterval)
		if s.intN(sendsBetweenPauses) == 0 {
			time.Sleep(time.Duration(s.intN(1500)) * time.Millisecond)
		}
	}
	wg.Wait()
	stop()
	// Pending calls and reads end meanwhile.
	time.Sleep(time.Second)
	for _, c := range s.targets {
		c.check(s)
	}
	if t.Failed() {
		t.Log(s.done)
	}
}

// intN returns a random number below n.
func (s *coldSite) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}
