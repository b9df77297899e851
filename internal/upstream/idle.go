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
	// maxIdle is how long a connection is kept unused. A connection can go silent
	// without a reset, so that an old one is worth little.
	maxIdleTime = 4 * time.Second
	// keepMargin is left of the time that the target announced.
	keepAliveMargin = 500 * time.Millisecond
	// maxIdleConns bounds the kept connections of one target.
	maxIdleConns = 8
)

// idlePool keeps the connections that are not in use. The zero value is ready.
type idlePool struct {
	mu    sync.Mutex
	conns map[netip.AddrPort][]*connection
}

// take returns the connection to addr that was used last, or nil.
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

// put keeps conn and closes those of its target that have become too old.
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

// life is the time for which the connection may be kept unused.
func (c *connection) idleLifetime() time.Duration {
	if c.announcedIdleTime > 0 {
		return min(maxIdleTime, c.announcedIdleTime-keepAliveMargin)
	}
	return maxIdleTime
}

// noteKeepAlive reads the idle time that the target announced, in seconds.
func (c *connection) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.announcedIdleTime = time.Duration(s) * time.Second
		}
	}
}

// quiet reports whether a kept connection is open and has nothing to read:
// bytes that nobody asked for belong to no request.
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
