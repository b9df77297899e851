package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
)

const (
	// minStallTime is the time without a byte after which a body counts as stalled. It
	// exceeds the usual retransmission times of TCP.
	minStallTime = time.Second
	// minUnreadTime is the time after which a response of which the caller takes nothing
	// counts as stalled. The kernel of a caller accepts more bytes only once the caller
	// has read a part of its receive buffer, which takes a slow caller seconds.
	minUnreadTime = 10 * time.Second
	// finalAttemptTime is how long a read or write is tried once more after a time limit
	// has passed: a process that was frozen can then take the bytes that came meanwhile.
	finalAttemptTime = 100 * time.Millisecond
)

// connState is what a connection is being used for, apart from writing.
type connState int

const (
	// awaitsRequest means that no complete head of a request has arrived.
	awaitsRequest connState = iota
	// receivesBody means that the caller sends a body.
	receivesBody
	// servesRequest means that the caller waits for the host.
	servesRequest
)

var connStateNames = [...]string{"awaits request", "receives body", "serves request"}

// String returns the name of s for logs.
func (s connState) String() string { return connStateNames[s] }

// callerConn is a connection of a caller. It limits the pauses within request bodies and
// within responses.
type callerConn struct {
	net.Conn
	conns *callerConns
	// source is the address from which the connection comes.
	source netip.Addr

	mu    sync.Mutex
	state connState
	// served is set once a complete request has come.
	served bool
	// readAt and wroteAt are the times of the last progress in each direction; wroteAt is
	// valid if writing is set.
	readAt, wroteAt time.Time
	writing         bool
	// response is the allowance of the response that is being written, or nil if that
	// holds no counted memory.
	response *memory.Allowance
	closed   bool
	// header counts the lines of the head of the next request, headerMemory accounts for
	// their memory.
	header       headLines
	headerMemory *memory.Allowance
	// window accounts for the wide receive buffer, or is nil if the buffer has not been
	// widened.
	window *memory.Allowance
	// readLimit is the read deadline that the server has set.
	readLimit time.Time

	// The following fields are those of the body that is being received.
	part bodyPart
	// bodyMemory is the allowance of the body, or nil before it holds memory.
	bodyMemory *memory.Allowance
	bodyPause  time.Duration
	bodyUntil  time.Time
	end        bodyEnd
	// finalAttempt is set once the deadline of the body has passed and it is read a last
	// time.
	finalAttempt bool
}

type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the servers for callers.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of r.
func callerConnOf(r *http.Request) (*callerConn, error) {
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		return c, nil
	}
	return nil, fmt.Errorf("no connection is known for the request")
}

// stall describes an idle or stalled connection. Stalls are ordered by which connection is
// to be closed first.
type stall struct {
	// excess is that of the connection's source, when connections are compared.
	excess int
	served bool
	since  time.Time
}

// before reports whether the connection of s is to be closed before that of other.
func (s stall) before(other stall) bool {
	if s.excess != other.excess {
		return s.excess > other.excess
	}
	if s.served != other.served {
		return other.served
	}
	return s.since.Before(other.since)
}

// stall returns since when c is idle or has stalled, or false if it is in use.
func (c *callerConn) stall(now time.Time) (stall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := stall{served: c.served, since: c.readAt}
	if c.writing {
		at.since = c.wroteAt
	}
	switch {
	case c.closed || c.end != bodyNotEnded:
		return at, false
	case c.writing:
		return at, now.Sub(at.since) >= minUnreadTime
	case c.state == receivesBody:
		return at, now.Sub(at.since) >= minStallTime
	default:
		return at, c.state == awaitsRequest
	}
}

func (c *callerConn) stalledFor() time.Duration {
	now := c.conns.Clock.Now()
	at, _ := c.stall(now)
	return now.Sub(at.since)
}

func (c *callerConn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *callerConn) receives(part bodyPart) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == receivesBody && c.part == part
}

func (c *callerConn) holdsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing && c.response != nil
}

// setResponse records the allowance of the response that is being written.
func (c *callerConn) setResponse(a *memory.Allowance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = a
}

// responseMemory returns the allowance of the response that is being written, or nil.
func (c *callerConn) responseMemory() *memory.Allowance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response
}

// reset closes the connection at once and drops unsent bytes.
func (c *callerConn) reset() {
	if c.markClosed() {
		// An error means that it is closed already.
		_ = link.Reset(c.Conn)
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	if !c.markClosed() {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// markClosed marks c as closed, removes it from the table, and reports whether it was
// open.
func (c *callerConn) markClosed() bool {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.headerMemory.Release()
	c.releaseWindow()
	c.mu.Unlock()
	c.conns.remove(c)
	return !was
}

// CloseWrite closes the sending side if the connection supports that. The server of
// net/http calls it after a refusal, so that the caller can still read the response.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
