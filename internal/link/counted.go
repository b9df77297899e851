package link

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
)

// Counted is a Network that counts the bytes that its process sends and
// receives. Exported fields are set before the first use.
type Counted struct {
	Network
	// Sent and Received are in bytes.
	Sent, Received *atomic.Int64
}

var _ Network = Counted{}

// Dial opens a counted connection.
func (n Counted) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{c, n}, nil
}

// Listen opens a listener whose connections are counted.
func (n Counted) Listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := n.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return countedListener{l, n}, nil
}

type countedListener struct {
	net.Listener
	n Counted
}

// Accept waits for a connection, whose bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.n}, nil
}

type countedConn struct {
	net.Conn
	n Counted
}

// Write counts the bytes written.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Sent.Add(int64(n))
	return n, err
}

// Read counts the bytes read.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Received.Add(int64(n))
	return n, err
}
