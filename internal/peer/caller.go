package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/link"
)

// Timeouts of the connections to peers.
const (
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = time.Second
	// writeTimeout bounds one write. The connection to a peer that accepts no
	// bytes for that long is closed, since a blocked write delays every later
	// call.
	writeTimeout = 2 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
)

// Caller calls the RPC services of other hosts. It keeps one connection to each
// and closes it after idleTimeout without a call. Exported fields are set
// before the first call.
type Caller struct {
	Net link.Network

	mu        sync.Mutex
	clients   map[netip.AddrPort]*client
	lastSweep time.Time
}

// writeTimeoutConn is a connection whose writes end within writeTimeout.
type writeTimeoutConn struct {
	net.Conn
}

// Write writes b or fails within writeTimeout.
func (c writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// client is a connection and the time of its last call.
type client struct {
	*rpc.Client
	used time.Time
}

// Call invokes method at addr and waits for the reply or the end of ctx. It may
// outlast ctx by up to writeTimeout if the connection accepts no more bytes.
// reply must not be used after an error: a late response may still be written
// to it.
func (c *Caller) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	cl, err := c.client(ctx, addr)
	if err != nil {
		return err
	}
	call := cl.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, ok := call.Error.(rpc.ServerError); !ok && call.Error != nil {
			c.drop(addr, cl)
		}
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CallOrDisconnect is Call for calls that the host answers at once or by the deadline of
// ctx. If it doesn't, the connection may have gone silent for good and is closed, so
// that the next call opens a new one.
func (c *Caller) CallOrDisconnect(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	err := c.Call(ctx, addr, method, args, reply)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Disconnect(addr)
	}
	return err
}

func (c *Caller) client(ctx context.Context, addr netip.AddrPort) (*client, error) {
	now := time.Now()
	c.mu.Lock()
	c.sweep(now)
	cl := c.clients[addr]
	if cl != nil {
		cl.used = now
	}
	c.mu.Unlock()
	if cl != nil {
		return cl, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.addClient(addr, conn, now), nil
}

// sweep closes the connections that have been idle for idleTimeout. It runs at
// most once in half that time. c.mu is held.
func (c *Caller) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < idleTimeout/2 {
		return
	}
	c.lastSweep = now
	for addr, cl := range c.clients {
		if now.Sub(cl.used) >= idleTimeout {
			delete(c.clients, addr)
			cl.Close()
		}
	}
}

// addClient stores a client over conn. If another call has stored one for addr
// meanwhile, it closes conn and returns that one.
func (c *Caller) addClient(addr netip.AddrPort, conn net.Conn, now time.Time) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl := c.clients[addr]; cl != nil {
		conn.Close()
		return cl
	}
	if c.clients == nil {
		c.clients = map[netip.AddrPort]*client{}
	}
	cl := &client{Client: rpc.NewClient(writeTimeoutConn{&limitedConn{Conn: conn}}), used: now}
	c.clients[addr] = cl
	return cl
}

func (c *Caller) drop(addr netip.AddrPort, cl *client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[addr] == cl {
		delete(c.clients, addr)
	}
	cl.Close()
}

// Disconnect closes the connection to addr, on which calls may hang if the host
// is gone.
func (c *Caller) Disconnect(addr netip.AddrPort) {
	c.mu.Lock()
	cl := c.clients[addr]
	c.mu.Unlock()
	if cl != nil {
		c.drop(addr, cl)
	}
}

// Close closes every connection.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cl := range c.clients {
		cl.Close()
		delete(c.clients, addr)
	}
}
