package peer

import (
	"net"
	"time"

	"berylswitch.example/berylswitch/internal/memory"
	"github.com/zeebo/errs"
)

// maxMessageBytes bounds one message between hosts. The largest is the
// configuration with all targets.
const maxMessageBytes = 16 << 20

// Limits on what a caller of this host may leave incomplete.
const (
	// smallMessageBytes is the size up to which a message takes nothing from the budget for
	// messages, so that large ones can't make heartbeats fail.
	smallMessageBytes = 64 << 10
	// messageTimeout is the time for the rest of a message of which a part has come.
	messageTimeout = 10 * time.Second
)

// Errors of messages.
var (
	errMessageTooLarge = errs.New("message of a peer is too large")
	errNoMessageMemory = errs.New("no memory is left for the message of a peer")
)

// limitedConn is a connection that fails to read once a gob message announces
// more than maxMessageBytes. The gob decoder alone takes messages of up to 1 GB.
type limitedConn struct {
	net.Conn
	// memory, unless nil, accounts for the message that is being received, whose time is
	// then limited too.
	memory *memory.Allowance
	// messageLeft is the number of bytes of the present message that are still to
	// come.
	messageLeft uint64
	// lengthLeft is the number of bytes of the next message's length that are still
	// to come, length its bytes so far.
	lengthLeft int
	length     uint64
	// timed is set while the time of the present message is limited, hasDeadline while the
	// connection has a read deadline.
	timed, hasDeadline bool
}

// Read reads from the connection.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.memory != nil && c.messageLeft == 0 {
		// The decoder reads on when it has decoded the last message.
		c.memory.Release()
	}
	n, err := c.Conn.Read(p)
	if err := c.follow(p[:n]); err != nil {
		return 0, err
	}
	if c.memory != nil {
		c.limitTime()
	}
	return n, err
}

// Close closes the connection and returns its memory.
func (c *limitedConn) Close() error {
	if c.memory != nil {
		c.memory.Release()
	}
	return c.Conn.Close()
}

// limitTime limits the time of a message that is incomplete, from its first byte, and ends
// the limit after it.
func (c *limitedConn) limitTime() {
	incomplete := c.messageLeft > 0 || c.lengthLeft > 0
	switch {
	case incomplete && !c.timed:
		c.setDeadline(time.Now().Add(messageTimeout))
	case !incomplete && c.hasDeadline:
		c.setDeadline(time.Time{})
	}
	c.timed = incomplete
}

// setDeadline sets the read deadline, or none if until is zero.
func (c *limitedConn) setDeadline(until time.Time) {
	c.hasDeadline = !until.IsZero()
	// An error means that the connection is closed, which the next Read reports.
	_ = c.SetReadDeadline(until)
}

// follow returns an error unless the messages that b continues keep to the limits.
func (c *limitedConn) follow(b []byte) error {
	for len(b) > 0 {
		if c.messageLeft > 0 {
			n := min(c.messageLeft, uint64(len(b)))
			c.messageLeft -= n
			b = b[n:]
			continue
		}
		if c.lengthLeft == 0 {
			c.timed = false
		}
		c.readLength(b[0])
		b = b[1:]
		if err := c.beginMessage(); err != nil {
			return err
		}
	}
	return nil
}

// beginMessage takes the memory for the next message, if its length is known and large.
func (c *limitedConn) beginMessage() error {
	if c.messageLeft > maxMessageBytes {
		return errMessageTooLarge
	}
	if c.memory != nil && c.messageLeft > smallMessageBytes && !c.memory.Take(int64(c.messageLeft)) {
		return errNoMessageMemory
	}
	return nil
}

// readLength takes one byte of a message's length. A length below 128 is one byte;
// a larger one is the negated count of its bytes, followed by these from the
// highest on.
func (c *limitedConn) readLength(b byte) {
	switch {
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b < 0x80:
		c.length = uint64(b)
	default:
		c.length, c.lengthLeft = 0, -int(int8(b))
	}
	if c.lengthLeft == 0 {
		c.messageLeft = c.length
	}
}
