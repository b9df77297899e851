package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
)

// codec is the gob codec of net/rpc. It also counts the calls that are being
// served, so that a shutdown can wait for them.
type codec struct {
	conn    net.Conn
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	running *atomic.Int64
}

var _ rpc.ServerCodec = (*codec)(nil)

func newCodec(conn net.Conn, running *atomic.Int64) *codec {
	conn = &limitedConn{Conn: conn}
	buf := bufio.NewWriter(conn)
	return &codec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf, running: running}
}

// ReadRequestHeader reads a header. The call counts as running from then on.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.running.Add(1)
	return nil
}

// ReadRequestBody reads the arguments.
func (c *codec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse writes a response and ends the call. net/rpc writes one response
// for each header that was read, even if the arguments could not be read.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer c.running.Add(-1)
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }
