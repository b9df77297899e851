// Package link connects processes. A Network dials and listens; it is either
// the TCP of the machine or a Memory whose links can be cut, delayed and
// healed, so that the same host code runs over both.
package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Network is the way from one process to the others.
type Network interface {
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen(addr netip.AddrPort) (net.Listener, error)
}

// TCP is the machine's own network.
type TCP struct{}

var _ Network = TCP{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Listen opens a TCP listener.
func (TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Bounds of the HTTP connections that a process keeps.
const (
	maxIdlePerTarget = 64
	idleTimeout      = 30 * time.Second
	// dialTimeout bounds a dial, which may go on after the request that began it
	// was given up.
	dialTimeout = 3 * time.Second
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
	}
}
