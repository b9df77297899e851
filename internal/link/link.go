// Package link connects processes. A Network dials and listens. It is either TCP,
// the network of the machine, or a Memory, whose links can be cut, delayed and
// healed, so that the same host code runs over both. TLS and Counted wrap a
// Network to encrypt its connections or to count their bytes.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network connects one process to the others.
type Network interface {
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen(addr netip.AddrPort) (net.Listener, error)
}

// TCP is the machine's own network.
type TCP struct {
	// ReceiveBuffer is requested for each connection. A kernel that refuses it keeps its
	// own size, which Granted returns.
	ReceiveBuffer ReceiveBuffer
}

var _ Network = TCP{}

// keepAlive detects connections whose peer has gone silent without a reset.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: time.Second,
	Count:    2,
}

// unackedTimeout is how long sent bytes may stay unacknowledged before the
// connection is closed.
const unackedTimeout = 2 * time.Second

// Dial opens a TCP connection.
func (n TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: func(_, _ string, c syscall.RawConn) error {
		_ = n.ReceiveBuffer.request(c)
		return limitUnacked(c)
	}}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Listen opens a TCP listener.
func (n TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: func(_, _ string, c syscall.RawConn) error {
		_ = n.ReceiveBuffer.request(c)
		return nil
	}}
	return l.Listen(context.Background(), "tcp", addr.String())
}

// limitUnacked makes the kernel close a connection whose data stays
// unacknowledged for unackedTimeout.
func limitUnacked(c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(err, sockErr)
}

// Limits of the HTTP connections that a process keeps.
const (
	maxIdlePerTarget = 64
	idleTimeout      = 30 * time.Second
	// dialTimeout bounds a dial, which may continue after the request that started
	// it was cancelled.
	dialTimeout = 3 * time.Second
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// Transport returns an HTTP transport that dials through n. URLs must name
// their host by IP number and port.
func Transport(n Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return n.Dial(ctx, ap)
		},
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// ReadBody reads body to its end. It fails if there are more than limit bytes, so
// that a part of a body is never taken for the whole.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("body exceeds %d bytes", limit)
	}
	return b, nil
}

// IgnoreClosed returns err, or nil if err says that a listener or a server was
// closed, which is the normal end of a server.
func IgnoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
