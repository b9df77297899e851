package link

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// discarder is a connection of a Memory that can drop what it can't deliver.
type deliveryTimeoutSetter interface {
	setDeliveryTimeout(d time.Duration)
}

// DiscardLate bounds the life of the bytes written to conn: those that the
// other side has not received within d are dropped with the connection, even
// while this process is stopped, and closing conn drops what is still unsent.
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

// setUserTimeout makes the kernel end a connection whose data stays
// unacknowledged for d.
func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

func (c *memConn) setDeliveryTimeout(d time.Duration) {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.deliveryTimeout = d
}

// lateAfterClose is the time for which bytes of a closed connection that have
// arrived wait for the reader. What a cut link holds up is not sent again.
const closedDeliveryTimeout = 10 * time.Millisecond

// close ends the stream after the bytes already written. If the pipe was told
// to discard, those that are on the link still arrive, unless it is cut.
func (p *pipe) close() {
	p.mu.Lock()
	if p.deliveryTimeout > 0 {
		p.deliveryTimeout = closedDeliveryTimeout
	}
	p.mu.Unlock()
	p.finish(io.EOF)
}

// late ends the pipe when c was not delivered in time; p.mu is held.
func (p *pipe) breakIfLate(c *chunk) bool {
	if p.deliveryTimeout > 0 && time.Since(c.arrival) > p.deliveryTimeout {
		p.broken = syscall.ECONNRESET
	}
	return p.broken != nil
}
