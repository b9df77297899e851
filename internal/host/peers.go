package host

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// servePeers accepts peers until the listener closes.
func (h *Host) servePeers() error {
	for {
		conn, err := h.peers.Accept()
		if err != nil {
			return ignoreClosed(err)
		}
		if c := h.rpcCalls.open(conn); c != nil {
			go h.RPC.ServeCodec(c)
		}
	}
}

// rpcCalls counts the calls of peers that are under way, so that a shutdown
// can let them end, and knows the connections.
type rpcCalls struct {
	mu      sync.Mutex
	running int
	conns   map[net.Conn]bool
	closed  bool
}

// callPoll is the time between two looks at the calls under way.
const callPoll = 20 * time.Millisecond

// open returns a codec over conn, or nil when the host is closed.
func (r *rpcCalls) open(conn net.Conn) rpc.ServerCodec {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		conn.Close()
		return nil
	}
	if r.conns == nil {
		r.conns = map[net.Conn]bool{}
	}
	r.conns[conn] = true
	buf := bufio.NewWriter(conn)
	return &countingCodec{calls: r, conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf}
}

// wait returns the number of calls that are still under way after timeout, or
// zero as soon as there are none.
func (r *rpcCalls) wait(ctx context.Context, c *clock.Service, timeout time.Duration) int {
	start := c.Now()
	for r.count() > 0 && c.Since(start) < timeout {
		c.Sleep(ctx, callPoll)
	}
	return r.count()
}

func (r *rpcCalls) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *rpcCalls) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}

func (r *rpcCalls) drop(conn net.Conn) error {
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	return conn.Close()
}

// close ends every connection.
func (r *rpcCalls) close() {
	r.mu.Lock()
	r.closed = true
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
}

// countingCodec is the gob codec of net/rpc with a count of the calls under
// way.
type countingCodec struct {
	calls *rpcCalls
	conn  net.Conn
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
}

// ReadRequestHeader reads a header; the call is under way from then on.
func (c *countingCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.calls.add(1)
	return nil
}

// ReadRequestBody reads the arguments.
func (c *countingCodec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse ends a call.
func (c *countingCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.calls.add(-1)
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		c.Close()
	}
	return err
}

// Close ends the connection.
func (c *countingCodec) Close() error { return c.calls.drop(c.conn) }
