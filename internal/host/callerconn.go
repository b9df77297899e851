package host

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// finalAttemptTime is how long a read is tried once more after its deadline: a process
// that got no time can then take what the caller has sent meanwhile.
const finalAttemptTime = 100 * time.Millisecond

// callerListener returns connections of callers whose read deadlines don't cut a request
// that the caller has sent.
type callerListener struct {
	net.Listener
	clock *clock.Service
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, clock: l.clock, acceptedAt: l.clock.Now()}, nil
}

// callerConn is a connection of a caller. HTTP clients open connections in advance, so
// until its first byte a connection counts as idle; net/http would limit it by the time
// for a header.
type callerConn struct {
	net.Conn
	clock      *clock.Service
	acceptedAt time.Time

	mu sync.Mutex
	// begun is set once a byte has arrived.
	begun bool
	// deadline is the read deadline that net/http has set, tried is set once a read was
	// tried again after it.
	deadline time.Time
	tried    bool
}

// SetReadDeadline sets the deadline of the current and of later reads.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.tried = at, false
	if !c.begun && at.After(c.acceptedAt) {
		at = c.acceptedAt.Add(idleTimeout)
	}
	return c.Conn.SetReadDeadline(at)
}

// Read reads from the caller. After the deadline it takes what has arrived.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.begin()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.tryAgain() {
			return n, err
		}
	}
}

// begin records that a byte has arrived. The time for the first header begins with it.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return
	}
	c.begun = true
	c.deadline, c.tried = c.clock.Now().Add(headerTimeout), false
	// An error means that the connection is closed, which the next Read reports.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// tryAgain prepares the final attempt after a deadline and reports whether there is one.
// There is none after a deadline in the far past, by which net/http ends a read at once.
func (c *callerConn) tryAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tried || !c.deadline.After(c.acceptedAt) {
		return false
	}
	c.tried = true
	return c.Conn.SetReadDeadline(c.clock.Now().Add(finalAttemptTime)) == nil
}
