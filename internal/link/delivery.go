package link

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryTimeoutSetter is implemented by the connections of a Memory.
type deliveryTimeoutSetter interface {
	setDeliveryTimeout(d time.Duration)
}

// SetDeliveryTimeout bounds the time until the bytes written to conn are
// received. If some have not arrived at the other side within d, they are
// dropped with the connection, even while this process is stopped. Closing conn
// drops the bytes that are still unsent.
func SetDeliveryTimeout(conn net.Conn, d time.Duration) error {
	switch c := conn.(type) {
	case *net.TCPConn:
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return setUserTimeout(c, d)
	case deliveryTimeoutSetter:
		c.setDeliveryTimeout(d)
	}
	return nil
}

// setUserTimeout makes the kernel close a connection whose data stays
// unacknowledged for d.
func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

func (c *memConn) setDeliveryTimeout(d time.Duration) {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.deliveryTimeout = d
}

// closedDeliveryTimeout is the delivery timeout of a closed connection: the time
// that its reader has to read bytes after their arrival. Bytes held back by a
// cut link are not sent again.
const closedDeliveryTimeout = 10 * time.Millisecond

// close ends the stream after the bytes already written. If the pipe has a
// delivery timeout, the bytes on the link still arrive, unless it is cut.
func (p *pipe) close() {
	p.mu.Lock()
	if p.deliveryTimeout > 0 {
		p.deliveryTimeout = closedDeliveryTimeout
	}
	p.mu.Unlock()
	p.finish(io.EOF)
}

// breakIfLate breaks the pipe if the delivery timeout of c has passed, and
// reports whether the pipe is broken. p.mu is held.
func (p *pipe) breakIfLate(c *chunk) bool {
	if p.deliveryTimeout > 0 && time.Since(c.arrival) > p.deliveryTimeout {
		p.broken = syscall.ECONNRESET
	}
	return p.broken != nil
}
