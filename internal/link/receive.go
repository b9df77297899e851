package link

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReceiveBuffer is the size in bytes that is requested for the receive buffer of a
// connection. The buffer holds the bytes that have arrived and have not been read, and
// bounds what the other side can send ahead. Left to itself the kernel lets it grow to
// several MiB. Zero leaves the size to the kernel.
type ReceiveBuffer int

// grantedFactor is the factor by which Linux exceeds the requested size, for its own
// overhead. Unread bytes can take all of it.
const grantedFactor = 2

// MostUnread returns the maximum number of unread bytes of a connection with this buffer.
func (b ReceiveBuffer) MostUnread() int64 { return grantedFactor * int64(b) }

// request requests the buffer for a socket. For a listener it must come before connections,
// which inherit it: a window that the other side has been told of is never withdrawn.
func (b ReceiveBuffer) request(c syscall.RawConn) error {
	if b == 0 {
		return nil
	}
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(b))
	})
	return errors.Join(err, sockErr)
}

// Granted returns the size of the receive buffer of a listener or a connection, or zero if
// it is unknown.
func Granted(s any) int {
	sc, ok := s.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	size := 0
	if err := raw.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err == nil {
			size = n
		}
	}); err != nil {
		return 0
	}
	return size
}

// Widen gives an open connection a larger receive buffer, so that the other side can send
// more ahead on a long link. Connections that are not TCP are left as they are.
func Widen(conn net.Conn, b ReceiveBuffer) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	if err := b.request(raw); err != nil {
		return err
	}
	var sockErr error
	// The kernel has limited the window to the size of the buffer at the start.
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, int(b.MostUnread()))
	})
	return errors.Join(err, sockErr)
}
