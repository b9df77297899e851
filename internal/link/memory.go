package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// Memory is a network inside one process. Each process on it is known by its
// IP number. A link is one direction between two IP numbers: it has a delay
// and can be cut. Bytes on a cut link wait and arrive once it is healed, as
// TCP's retransmission would have it; a dial over a cut link waits for its
// context. Exported fields are set before the first use.
type Memory struct {
	// Delay is the one-way delay of every link without a delay of its own.
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

// route is one direction between two processes.
type route struct{ from, to netip.Addr }

// Process returns the network as seen by the process at addr.
func (m *Memory) Process(addr netip.Addr) Network { return memProcess{m, addr} }

type memProcess struct {
	m    *Memory
	addr netip.Addr
}

// Cut stops the bytes from one process to another, in that direction only.
func (m *Memory) Cut(from, to netip.Addr) { m.setCut(route{from, to}, true) }

// Heal lets the bytes from one process to another pass again.
func (m *Memory) Heal(from, to netip.Addr) { m.setCut(route{from, to}, false) }

// SetDelay sets the delay of one direction.
func (m *Memory) SetDelay(from, to netip.Addr, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	m.delay[route{from, to}] = d
}

// Kill closes every listener and connection of the process at addr, as the end
// of that process would. What is left of the process can't dial; the next
// Listen at addr is that of its next life.
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

// Reset breaks every connection between two processes; what was under way is
// lost.
func (m *Memory) Reset(a, b netip.Addr) {
	m.mu.Lock()
	m.init()
	var conns []*memConn
	for c := range m.conns {
		r := c.out.route
		if r == (route{a, b}) || r == (route{b, a}) {
			conns = append(conns, c)
		}
	}
	m.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
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

// firstDialPort is the lowest port number that a dialling end is given.
const firstDialPort = 32768

func (m *Memory) setCut(r route, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if cut {
		m.cut[r] = true
	} else {
		delete(m.cut, r)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// state returns whether r is cut, its delay and a channel that is closed when
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

// Dial connects to addr after the delay there and back.
func (p memProcess) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	there, back := route{p.addr, addr.Addr()}, route{addr.Addr(), p.addr}
	if err := p.m.cross(ctx, there); err != nil {
		return nil, dialError(addr, err)
	}
	if err := p.m.cross(ctx, back); err != nil {
		return nil, dialError(addr, err)
	}
	l, local := p.m.target(addr, p.addr)
	if l == nil {
		return nil, dialError(addr, syscall.ECONNREFUSED)
	}
	near, far := p.m.pair(local, addr)
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

// target returns the listener at addr, if any, and a local address for a new
// connection of the process at from.
func (m *Memory) target(addr netip.AddrPort, from netip.Addr) (*memListener, netip.AddrPort) {
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

// cross waits for one passage of r.
func (m *Memory) cross(ctx context.Context, r route) error {
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

func (m *Memory) pair(local, remote netip.AddrPort) (near, far *memConn) {
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

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		l.m.mu.Lock()
		delete(l.m.listeners, l.addr)
		l.m.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// memConn is one end of a connection.
type memConn struct {
	m             *Memory
	local, remote netip.AddrPort
	in, out       *pipe
}

func (c *memConn) Read(b []byte) (int, error)  { return c.in.read(b) }
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

// reset ends both directions at once, as a dying process does.
func (c *memConn) reset() {
	c.m.mu.Lock()
	delete(c.m.conns, c)
	c.m.mu.Unlock()
	c.out.abort(syscall.ECONNRESET)
	c.in.abort(syscall.ECONNRESET)
}

func (c *memConn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *memConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (c *memConn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

func (c *memConn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// pipeCapacity is the number of bytes that one direction holds before writes
// block.
const pipeCapacity = 256 << 10

// pipe is one direction of a connection: a queue of chunks with the time from
// which each may be read.
type pipe struct {
	m     *Memory
	route route

	mu            sync.Mutex
	chunks        []chunk
	size          int
	end           error // set once nothing more is written; read after the chunks
	broken        error // set once the pipe is dead for both sides
	readDeadline  time.Time
	writeDeadline time.Time
	undelivered   time.Duration // after which chunks are dropped; zero is never
	changed       chan struct{}
}

type chunk struct {
	data []byte
	at   time.Time
}

func newPipe(m *Memory, r route) *pipe {
	return &pipe{m: m, route: r, changed: make(chan struct{})}
}

// signal wakes every waiter; p.mu is held.
func (p *pipe) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (int, error) {
	for {
		_, d, _ := p.m.state(p.route)
		p.mu.Lock()
		if err := p.writeError(); err != nil {
			p.mu.Unlock()
			return 0, err
		}
		if p.size < pipeCapacity {
			p.chunks = append(p.chunks, chunk{append([]byte(nil), b...), time.Now().Add(d)})
			p.size += len(b)
			p.signal()
			p.mu.Unlock()
			return len(b), nil
		}
		changed, deadline := p.changed, p.writeDeadline
		p.mu.Unlock()
		wait(changed, nil, deadline)
	}
}

func (p *pipe) writeError() error {
	switch {
	case p.broken != nil:
		return p.broken
	case p.end != nil:
		return net.ErrClosed
	case passed(p.writeDeadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

func passed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (p *pipe) read(b []byte) (int, error) {
	for {
		cut, _, linkChanged := p.m.state(p.route)
		p.mu.Lock()
		n, until, err := p.tryRead(b, cut)
		changed := p.changed
		p.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		wait(changed, linkChanged, until)
	}
}

// tryRead reads what has arrived. With nothing to read it returns the time at
// which to look again, zero for none. p.mu is held.
func (p *pipe) tryRead(b []byte, cut bool) (int, time.Time, error) {
	if p.broken != nil {
		return 0, time.Time{}, p.broken
	}
	if passed(p.readDeadline) {
		return 0, time.Time{}, os.ErrDeadlineExceeded
	}
	if len(b) == 0 || cut {
		return 0, p.readDeadline, nil
	}
	if len(p.chunks) == 0 {
		return 0, p.readDeadline, p.end
	}
	first := &p.chunks[0]
	if time.Until(first.at) > 0 {
		return 0, earliest(first.at, p.readDeadline), nil
	}
	if p.late(first) {
		return 0, time.Time{}, p.broken
	}
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.signal()
	return n, time.Time{}, nil
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// wait returns when either channel is closed or the time has come; a zero time
// never comes.
func wait(a, b <-chan struct{}, until time.Time) {
	var timeout <-chan struct{}
	if !until.IsZero() {
		done, stop := clock.Timer(time.Until(until))
		defer stop()
		timeout = done
	}
	select {
	case <-a:
	case <-b:
	case <-timeout:
	}
}

// finish ends the stream after the bytes already written.
func (p *pipe) finish(end error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end == nil {
		p.end = end
		p.signal()
	}
}

// abort ends the stream at once.
func (p *pipe) abort(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = err
		p.signal()
	}
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.signal()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	p.signal()
}

var (
	_ net.Conn     = (*memConn)(nil)
	_ net.Listener = (*memListener)(nil)
)

// IsRefused reports whether err says that nobody listened, so that nothing was
// sent.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
