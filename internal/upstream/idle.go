package upstream

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxIdleTime is how long a connection is kept idle. It is short because a
	// connection can fail without a reset.
	maxIdleTime = 4 * time.Second
	// keepAliveMargin is subtracted from the idle time that the target announced.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections per target.
	maxIdleConns = 8
)

// idlePool holds the idle connections. The zero value is ready for use.
type idlePool struct {
	mu    sync.Mutex
	conns map[netip.AddrPort][]*connection
}

// take removes and returns the most recently used connection to addr that is still
// usable, or nil.
func (p *idlePool) take(addr netip.AddrPort, now time.Time) *connection {
	for {
		conn := p.pop(addr)
		if conn == nil {
			return nil
		}
		if now.Sub(conn.lastUsed) < conn.idleLifetime() && openAndQuiet(conn) {
			return conn
		}
		conn.Close()
	}
}

func (p *idlePool) pop(addr netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[addr]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.conns[addr] = conns[:len(conns)-1]
	return conn
}

// put adds conn. It closes the oldest connections of the same target that have
// expired or exceed maxIdleConns.
func (p *idlePool) put(conn *connection, now time.Time) {
	conn.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[netip.AddrPort][]*connection{}
	}
	conns := p.conns[conn.addr]
	for len(conns) > 0 && (len(conns) >= maxIdleConns || now.Sub(conns[0].lastUsed) >= conns[0].idleLifetime()) {
		conns[0].Close()
		conns = conns[1:]
	}
	p.conns[conn.addr] = append(conns, conn)
}

func (p *idlePool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.conns {
		for _, conn := range conns {
			conn.Close()
		}
		delete(p.conns, addr)
	}
}

// idleLifetime returns the time for which the connection may be kept idle.
func (c *connection) idleLifetime() time.Duration {
	if c.announcedIdleTime > 0 {
		return min(maxIdleTime, c.announcedIdleTime-keepAliveMargin)
	}
	return maxIdleTime
}

// readKeepAlive records the idle time, in seconds, that the target announced in
// its Keep-Alive header.
func (c *connection) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.announcedIdleTime = time.Duration(s) * time.Second
		}
	}
}

// openAndQuiet reports whether an idle connection is open and has no bytes to
// read; unsolicited bytes belong to no request.
func openAndQuiet(c *connection) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
