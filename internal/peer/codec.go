package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"sync/atomic"
)

// codec is the gob codec of net/rpc. It also counts the calls that are being
// served, so that a shutdown can wait for them.
type codec struct {
	conn   net.Conn
	dec    *gob.Decoder
	enc    *gob.Encoder
	buf    *bufio.Writer
	server *Server
	// accepted is the connection as the server knows it, running the number of its calls
	// that are being served.
	accepted net.Conn
	running  atomic.Int64
}

var _ rpc.ServerCodec = (*codec)(nil)

func newCodec(accepted net.Conn, s *Server) *codec {
	conn := &limitedConn{Conn: accepted}
	if s.Memory != nil {
		conn.memory = s.Memory.NewAllowance()
	}
	buf := bufio.NewWriter(conn)
	return &codec{conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf, server: s, accepted: accepted}
}

// ReadRequestHeader reads a header. The call counts as running from then on.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		c.reportRefused(err)
		return err
	}
	c.begin()
	return nil
}

// begin records that a call begins.
func (c *codec) begin() {
	c.server.running.Add(1)
	c.running.Add(1)
	c.server.record(c.accepted, http.StateActive)
}

// end records that a call has ended.
func (c *codec) end() {
	c.server.running.Add(-1)
	if c.running.Add(-1) == 0 {
		c.server.record(c.accepted, http.StateIdle)
	}
}

// ReadRequestBody reads the arguments.
func (c *codec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	c.reportRefused(err)
	return err
}

// reportRefused tells the server if err is that of a limit on messages.
func (c *codec) reportRefused(err error) {
	refused := errors.Is(err, errMessageTooLarge) || errors.Is(err, errNoMessageMemory) || errors.Is(err, os.ErrDeadlineExceeded)
	if refused && c.server.OnRefuse != nil {
		c.server.OnRefuse(c.accepted.RemoteAddr(), err)
	}
}

// WriteResponse writes a response and ends the call. net/rpc writes one response
// for each header that was read, even if the arguments could not be read.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer c.end()
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
