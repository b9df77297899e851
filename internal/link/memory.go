package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// Memory is a simulated network inside one operating system process. Each
// simulated process is identified by its IP number. A link is one direction
// between two IP numbers; it has a delay and can be cut. Bytes on a cut link wait
// and arrive once it is healed, as with TCP's retransmission. A dial over a cut
// link waits for the link to heal or for its context. Exported fields are set
// before the first use.
type Memory struct {
	// Delay is the one-way delay of links without one set by SetDelay.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	cut       map[route]bool
	delay     map[route]time.Duration
	conns     map[*memConn]bool
	killed    map[netip.Addr]bool
	changed   chan struct{}
	nextPort  uint16
}

// route identifies a link: one direction between two processes.
type route struct{ from, to netip.Addr }

// Process returns the network as seen by the process at addr.
func (m *Memory) Process(addr netip.Addr) Network { return memProcess{m, addr} }

type memProcess struct {
	m    *Memory
	addr netip.Addr
}

// Cut cuts the link from one process to another, in that direction only.
func (m *Memory) Cut(from, to netip.Addr) { m.setCut(true, route{from, to}) }

// Heal heals the link from one process to another.
func (m *Memory) Heal(from, to netip.Addr) { m.setCut(false, route{from, to}) }

// Partition cuts both directions between each process of a and each of b.
func (m *Memory) Partition(a, b []netip.Addr) { m.setCut(true, between(a, b)...) }

// HealPartition resets the connections between a and b, as their timeouts would
// have done, and heals both directions.
func (m *Memory) HealPartition(a, b []netip.Addr) {
	routes := between(a, b)
	cut := map[route]bool{}
	for _, r := range routes {
		cut[r] = true
	}
	m.resetRoutes(cut)
	m.setCut(false, routes...)
}

// between returns the routes between a and b in both directions.
func between(a, b []netip.Addr) []route {
	var out []route
	for _, from := range a {
		for _, to := range b {
			out = append(out, route{from, to}, route{to, from})
		}
	}
	return out
}

// SetDelay sets the delay of one direction.
func (m *Memory) SetDelay(from, to netip.Addr, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.delay[route{from, to}] = d
}

// Kill closes every listener and connection of the process at addr, as the death
// of that process would. Goroutines that remain of it can't dial until Revive or
// the next Listen at addr, which start its next incarnation.
func (m *Memory) Kill(addr netip.Addr) {
	m.mu.Lock()
	m.init()
	m.killed[addr] = true
	var conns []*memConn
	for c := range m.conns {
		if c.out.route.from == addr || c.out.route.to == addr {
			conns = append(conns, c)
		}
	}
	var listeners []*memListener
	for ap, l := range m.listeners {
		if ap.Addr() == addr {
			listeners = append(listeners, l)
		}
	}
	m.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Revive lets the process at addr dial again after Kill.
func (m *Memory) Revive(addr netip.Addr) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.killed, addr)
}

// Reset resets every connection between two processes; bytes in flight are lost.
func (m *Memory) Reset(a, b netip.Addr) {
	m.resetRoutes(map[route]bool{{a, b}: true, {b, a}: true})
}

// Silence makes every connection between two processes silent for good, without a
// reset; new connections work.
func (m *Memory) Silence(a, b netip.Addr) {
	for _, c := range m.connsOn(map[route]bool{{a, b}: true, {b, a}: true}) {
		c.out.silence()
	}
}

func (m *Memory) resetRoutes(routes map[route]bool) {
	for _, c := range m.connsOn(routes) {
		c.reset()
	}
}

// connsOn returns the connections whose outgoing link is one of routes.
func (m *Memory) connsOn(routes map[route]bool) []*memConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	var conns []*memConn
	for c := range m.conns {
		if routes[c.out.route] {
			conns = append(conns, c)
		}
	}
	return conns
}

func (m *Memory) init() {
	if m.listeners != nil {
		return
	}
	m.listeners = map[netip.AddrPort]*memListener{}
	m.cut = map[route]bool{}
	m.delay = map[route]time.Duration{}
	m.conns = map[*memConn]bool{}
	m.killed = map[netip.Addr]bool{}
	m.changed = make(chan struct{})
	m.nextPort = firstDialPort
}

// firstDialPort is the lowest local port of a dialled connection.
const firstDialPort = 32768

// setCut cuts or heals routes and wakes every reader once.
func (m *Memory) setCut(cut bool, routes ...route) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	for _, r := range routes {
		if cut {
			m.cut[r] = true
		} else {
			delete(m.cut, r)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// state returns whether r is cut, its delay, and a channel that is closed when
// any link is next cut or healed.
func (m *Memory) state(r route) (bool, time.Duration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	d, ok := m.delay[r]
	if !ok {
		d = m.Delay
	}
	return m.cut[r], d, m.changed
}

// Listen opens a listener; the IP number must be that of the process.
func (p memProcess) Listen(addr netip.AddrPort) (net.Listener, error) {
	m := p.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	delete(m.killed, addr.Addr())
	if m.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: net.TCPAddrFromAddrPort(addr), Err: syscall.EADDRINUSE}
	}
	l := &memListener{m: m, addr: addr, accept: make(chan *memConn), done: make(chan struct{})}
	m.listeners[addr] = l
	return l, nil
}

// Dial connects to addr after one round trip.
func (p memProcess) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	there, back := route{p.addr, addr.Addr()}, route{addr.Addr(), p.addr}
	if err := p.m.waitOneWay(ctx, there); err != nil {
		return nil, dialError(addr, err)
	}
	if err := p.m.waitOneWay(ctx, back); err != nil {
		return nil, dialError(addr, err)
	}
	l, local := p.m.findListener(addr, p.addr)
	if l == nil {
		return nil, dialError(addr, syscall.ECONNREFUSED)
	}
	near, far := p.m.connPair(local, addr)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		near.reset()
		return nil, dialError(addr, syscall.ECONNREFUSED)
	case <-ctx.Done():
		near.reset()
		return nil, dialError(addr, ctx.Err())
	}
}

func dialError(addr netip.AddrPort, err error) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: net.TCPAddrFromAddrPort(addr), Err: err}
}

// findListener returns the listener at addr, if any, and a local address for a
// new connection of the process at from. A killed process finds none.
func (m *Memory) findListener(addr netip.AddrPort, from netip.Addr) (*memListener, netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextPort++
	if m.nextPort < firstDialPort {
		m.nextPort = firstDialPort
	}
	if m.killed[from] {
		return nil, netip.AddrPort{}
	}
	return m.listeners[addr], netip.AddrPortFrom(from, m.nextPort)
}

// waitOneWay waits until r is not cut and then for its delay.
func (m *Memory) waitOneWay(ctx context.Context, r route) error {
	for {
		cut, d, changed := m.state(r)
		if !cut {
			return sleep(ctx, d)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	done, stop := clock.Timer(d)
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Memory) connPair(local, remote netip.AddrPort) (near, far *memConn) {
	out := newPipe(m, route{local.Addr(), remote.Addr()})
	in := newPipe(m, route{remote.Addr(), local.Addr()})
	near = &memConn{m: m, local: local, remote: remote, in: in, out: out}
	far = &memConn{m: m, local: remote, remote: local, in: out, out: in}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[near] = true
	m.conns[far] = true
	return near, far
}

type memListener struct {
	m      *Memory
	addr   netip.AddrPort
	accept chan *memConn
	done   chan struct{}
	once   sync.Once
}

// Accept waits for a connection or for Close.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections. Accepted ones stay open.
func (l *memListener) Close() error {
	l.once.Do(func() {
		l.m.mu.Lock()
		delete(l.m.listeners, l.addr)
		l.m.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr returns the listener's address.
func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// memConn is one end of a connection.
type memConn struct {
	m             *Memory
	local, remote netip.AddrPort
	in, out       *pipe
}

// Read waits for bytes that have arrived.
func (c *memConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write sends b; it waits only while the connection is full.
func (c *memConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close sends the end of the stream to the other side and stops reading.
func (c *memConn) Close() error {
	c.m.mu.Lock()
	delete(c.m.conns, c)
	c.m.mu.Unlock()
	c.out.close()
	c.in.abort(net.ErrClosed)
	return nil
}

// reset breaks both directions at once, as the death of a process does.
func (c *memConn) reset() {
	c.m.mu.Lock()
	delete(c.m.conns, c)
	c.m.mu.Unlock()
	c.out.abort(syscall.ECONNRESET)
	c.in.abort(syscall.ECONNRESET)
}

// LocalAddr returns the address of this end.
func (c *memConn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the other end.
func (c *memConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline bounds reads and writes.
func (c *memConn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline bounds reads.
func (c *memConn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline bounds writes.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

var (
	_ net.Conn     = (*memConn)(nil)
	_ net.Listener = (*memListener)(nil)
)

// IsRefused reports whether err says that the connection was refused, so that
// nothing was sent.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
