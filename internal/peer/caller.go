package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/link"
)

// dialTimeout bounds the time to connect to a peer.
const dialTimeout = time.Second

// Caller calls the RPC services of other hosts over one connection each.
// Exported fields are set before the first call.
type Caller struct {
	Net link.Network

	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
}

// Call invokes method at addr and waits for the reply or the end of ctx. Reply
// must not be used after an error: a late answer may still be written to it.
func (c *Caller) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	client, err := c.client(ctx, addr)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, ok := call.Error.(rpc.ServerError); !ok && call.Error != nil {
			c.drop(addr, client)
		}
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Caller) client(ctx context.Context, addr netip.AddrPort) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.clients[addr]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.keep(addr, conn), nil
}

// keep stores a client over conn unless another call was first.
func (c *Caller) keep(addr netip.AddrPort, conn net.Conn) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.clients[addr]; client != nil {
		conn.Close()
		return client
	}
	if c.clients == nil {
		c.clients = map[netip.AddrPort]*rpc.Client{}
	}
	client := rpc.NewClient(conn)
	c.clients[addr] = client
	return client
}

func (c *Caller) drop(addr netip.AddrPort, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[addr] == client {
		delete(c.clients, addr)
	}
	client.Close()
}

// Close ends every connection.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, client := range c.clients {
		client.Close()
		delete(c.clients, addr)
	}
}
