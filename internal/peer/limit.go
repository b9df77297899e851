package peer

import (
	"net"

	"github.com/zeebo/errs"
)

// maxMessageBytes bounds one message between hosts. The largest is the
// configuration with all targets.
const maxMessageBytes = 16 << 20

var errMessageTooLarge = errs.New("message of a peer is too large")

// limitedConn is a connection that fails to read once a gob message announces
// more than maxMessageBytes. The gob decoder alone takes messages of up to 1 GB.
type limitedConn struct {
	net.Conn
	// messageLeft is the number of bytes of the present message that are still to
	// come.
	messageLeft uint64
	// lengthLeft is the number of bytes of the next message's length that are still
	// to come, length its bytes so far.
	lengthLeft int
	length     uint64
}

// Read reads from the connection.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.follow(p[:n]) {
		return 0, errMessageTooLarge
	}
	return n, err
}

// follow reports whether the messages that b continues keep to the limit.
func (c *limitedConn) follow(b []byte) bool {
	for len(b) > 0 {
		if c.messageLeft > 0 {
			n := min(c.messageLeft, uint64(len(b)))
			c.messageLeft -= n
			b = b[n:]
			continue
		}
		c.readLength(b[0])
		b = b[1:]
		if c.messageLeft > maxMessageBytes {
			return false
		}
	}
	return true
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
