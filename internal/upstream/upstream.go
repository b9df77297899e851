// Package upstream sends HTTP requests to targets. Unlike the client of net/http,
// its Client never repeats a request by itself, reports whether any byte of a
// request may have reached the target, and matches each response to its request
// by the ID that the target echoes, so that a late or surplus response on a
// reused connection is never delivered.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

// ErrNotSent means that no byte of the request has left this host.
var ErrNotSent = errs.New("request was not sent")

// ErrBroken means that the request may have run, but its response did not arrive
// complete.
var ErrBroken = errs.New("response is incomplete")

const (
	// dialTimeout is the time limit for opening a connection. An unreachable target
	// accepts none, and no part of the request has been sent by then.
	dialTimeout = 300 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path and query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Content is the body, of Length bytes, if it is not in one piece. Body is ignored
	// if Content is set.
	Content io.Reader
	Length  int64
	// Matches reports whether a response with the given header belongs to this
	// request. If it is nil, the first response is taken.
	Matches func(http.Header) bool
	// Permit, unless nil, is called once there is a connection, right before the first
	// byte is written. An error means that the request must not be sent any more.
	Permit func() error
	// NewConn requests a new connection. Requests that must not be repeated need
	// one: an idle connection may have failed unnoticed.
	NewConn bool
	// Hold keeps the connection of a response that was read to its end unused until
	// Response.Release is called.
	Hold bool
}

// ConnID identifies a connection of a Client.
type ConnID struct {
	Number uint64
	// Opened is the time at which the connection was opened.
	Opened time.Time
}

// Client sends requests to targets. Exported fields must be set before the first
// call.
type Client struct {
	Net   link.Network
	Clock *clock.Service

	idle idlePool
	// conns is the number of connections that have been opened.
	conns atomic.Uint64
}

// Response is the response to a request. Its Body must be read to the end or
// closed; the connection is reused only if Body was read to the end.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed is set if the response delimits its body by a length or by chunks; any
	// other body ends with the connection.
	Framed bool
	// Length is the declared length of the body, or -1. It is zero for a response
	// that can't have a body, such as that to HEAD.
	Length int64
	// Conn is the connection that brought the response.
	Conn ConnID

	body *body
}

// Release ends the hold of the connection. With keep it may carry further requests;
// otherwise it is closed.
func (r *Response) Release(keep bool) {
	r.body.hold = false
	r.body.finish(keep && r.body.whole)
}

// Do sends r to addr and returns the response with its body unread. An error
// wraps ErrNotSent or ErrBroken. When ctx ends, the connection is closed, so that
// the target drops the request.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	conn, err := c.connect(ctx, addr, r.NewConn)
	if err != nil {
		return nil, wrapNotSent(err)
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			conn.Close()
			return nil, wrapNotSent(err)
		}
	}
	stop := context.AfterFunc(ctx, conn.abort)
	resp, err := c.exchange(conn, r)
	if err != nil {
		stop()
		conn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, wrapBroken(err)
	}
	resp.body = &body{ReadCloser: resp.Body, conn: conn, client: c, ctx: ctx, stopAbort: stop, framed: resp.Framed, hold: r.Hold}
	resp.Body = resp.body
	return resp, nil
}

func wrapNotSent(err error) error { return errors.Join(ErrNotSent, err) }
func wrapBroken(err error) error  { return errors.Join(ErrBroken, err) }

// connect returns a connection to addr. It reuses an idle one unless newConn is
// set.
func (c *Client) connect(ctx context.Context, addr netip.AddrPort, newConn bool) (*connection, error) {
	if !newConn {
		if conn := c.idle.take(addr, c.Clock.Now()); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	reader, limiter := newReader(conn)
	id := ConnID{c.conns.Add(1), c.Clock.Now()}
	return &connection{Conn: conn, addr: addr, id: id, reader: reader, limiter: limiter}, nil
}

// exchange writes r and reads the status and header of its response. A body is
// written concurrently, since a target may respond before it has read all of it.
func (c *Client) exchange(conn *connection, r *Request) (*Response, error) {
	req, err := newRequest(r)
	if err != nil {
		return nil, err
	}
	conn.writeResult = make(chan error, 1)
	if req.Body == nil {
		conn.writeResult <- writeRequest(conn, req)
	} else {
		go func() { conn.writeResult <- writeRequest(conn, req) }()
	}
	resp, err := readResponse(conn, req, r.Matches)
	if err != nil {
		return nil, err
	}
	conn.closeAfterResponse = resp.Close
	conn.readKeepAlive(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Framed: framed, Length: length, Conn: conn.id}, nil
}

func newRequest(r *Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, err
	}
	// Opaque preserves the bytes of the path as the caller sent them.
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: r.Host, Opaque: rawPath(r.URI), RawQuery: u.RawQuery, ForceQuery: u.ForceQuery},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	switch {
	case r.Content != nil:
		req.Body, req.ContentLength = io.NopCloser(r.Content), r.Length
	case len(r.Body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req, nil
}

// rawPath returns uri without its query.
func rawPath(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

func writeRequest(conn *connection, req *http.Request) error {
	out := &errorWriter{w: conn}
	w := bufio.NewWriter(out)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if out.err != nil {
		return out.err
	}
	return err
}

// errorWriter keeps the error of a write: Write of http.Request returns it as an error of
// reading the body, without the original.
type errorWriter struct {
	w   io.Writer
	err error
}

// Write writes p and keeps the error.
func (w *errorWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

// Close closes all idle connections.
func (c *Client) Close() { c.idle.close() }

// body is the body of a response; at its end the connection becomes idle or is
// closed.
type body struct {
	io.ReadCloser
	conn      *connection
	client    *Client
	ctx       context.Context
	stopAbort func() bool
	framed    bool
	finished  bool
	// hold is set while the connection is kept for Response.Release; whole is set once
	// the body was read to its end meanwhile.
	hold, whole bool
}

// Read reads from the body. An error other than io.EOF wraps ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && !b.framed && !b.finished {
		err = b.conn.checkEnd()
	}
	b.finish(err == io.EOF && b.framed)
	if err == io.EOF {
		return n, io.EOF
	}
	if b.ctx.Err() != nil {
		err = context.Cause(b.ctx)
	}
	return n, wrapBroken(err)
}

// Close discards the rest of the response.
func (b *body) Close() error {
	if !b.whole {
		b.finish(false)
	}
	return nil
}

func (b *body) finish(keep bool) {
	if b.finished {
		return
	}
	if b.hold && keep {
		b.whole = true
		return
	}
	b.finished = true
	// If stopAbort returns false, the connection is already being closed.
	if b.stopAbort() && keep && !b.conn.closeAfterResponse && b.conn.requestWritten() && b.conn.reader.Buffered() == 0 {
		b.client.idle.put(b.conn, b.client.Clock.Now())
		return
	}
	b.conn.Close()
}

// connection is a connection to a target.
type connection struct {
	net.Conn
	addr netip.AddrPort
	id   ConnID
	// reader reads through limiter.
	reader  *bufio.Reader
	limiter *headLimiter
	// closeAfterResponse is set if the connection can't be reused.
	closeAfterResponse bool
	// writeResult receives the result of writing the request.
	writeResult chan error
	// announcedIdleTime is how long the target keeps the connection open while idle,
	// as announced in its Keep-Alive header; zero if not announced.
	announcedIdleTime time.Duration
	// lastUsed is the time at which the connection became idle.
	lastUsed time.Time
}

// requestWritten reports whether the request was written completely. Otherwise the
// rest of it may still be in transit, and no other request may follow on the
// connection.
func (c *connection) requestWritten() bool {
	select {
	case err := <-c.writeResult:
		return err == nil
	default:
		return false
	}
}

// passedDeadline is a deadline that ends a write at once.
var passedDeadline = time.Unix(1, 0)

// checkEnd ends the writing of the request, once the target's side of the connection has
// ended. It returns io.EOF if the target ended it in order. A connection reports a reset
// once, to a read or a write: if a write has taken the report, a read finds only the end.
func (c *connection) checkEnd() error {
	// An error means that the connection is closed, which ends a write too.
	_ = c.SetWriteDeadline(passedDeadline)
	err := <-c.writeResult
	c.writeResult <- err
	// EPIPE means that the target's end came before the reset that the write caused.
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return err
}

// abort resets the connection, which notifies the target. Bytes that have not reached
// it, since it doesn't read or is cut off, are dropped: after a close the kernel would
// deliver them whenever it can, as work that nobody waits for.
func (c *connection) abort() { link.Reset(c.Conn) }
