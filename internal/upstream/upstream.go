// Package upstream sends HTTP requests to targets. It differs from the client of
// net/http in what it promises to its caller: it never repeats a request by
// itself, it says whether any byte of a request may have reached the target,
// and it pairs each answer with its request by the ID that the target echoes,
// so that a late or surplus answer on a kept connection reaches nobody.
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
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

// ErrNotSent means that no byte of the request has left this host.
var ErrNotSent = errs.New("the request was not sent")

// ErrBroken means that the request may have run and its answer did not arrive
// whole.
var ErrBroken = errs.New("the answer is broken")

const (
	// dialTimeout bounds the opening of a connection. A target that is cut off
	// takes no connection, and nothing of the request has been sent by then.
	dialTimeout = 300 * time.Millisecond
	// maxForeign is the number of answers to other requests that are read past.
	maxForeignResponses = 2
	// maxForeignBytes bounds the body of an answer that is read past.
	maxForeignBytes = 1 << 20
	// readBuffer is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path and query, sent as it is.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Echoed reports whether the header of an answer belongs to this request. Nil
	// takes the first answer.
	Matches func(http.Header) bool
	// Fresh asks for a new connection. Requests that may not be repeated need one:
	// a kept connection may have gone silent unnoticed.
	NewConn bool
}

// Client sends requests to targets. Exported fields are set before the first
// call.
type Client struct {
	Net   link.Network
	Clock *clock.Service

	idle idlePool
}

// Answer is the answer to a request. Its Body must be read to the end or
// closed; a connection is kept only after the end.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed says that the end of Body is marked; an answer without a mark ends
	// with its connection.
	Framed bool
	// Length is the declared length of the body, or -1.
	Length int64
}

// Do sends r to addr and returns the answer's head. An error wraps ErrNotSent
// or ErrBroken. When ctx ends the connection is closed, which makes the target
// drop the request.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, r *Request) (*Response, error) {
	conn, err := c.connect(ctx, addr, r.NewConn)
	if err != nil {
		return nil, wrapNotSent(err)
	}
	stop := context.AfterFunc(ctx, conn.abort)
	a, err := c.exchange(conn, r)
	if err != nil {
		stop()
		conn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, wrapBroken(err)
	}
	a.Body = &body{ReadCloser: a.Body, conn: conn, client: c, ctx: ctx, stopAbort: stop, framed: a.Framed}
	return a, nil
}

func wrapNotSent(err error) error { return errors.Join(ErrNotSent, err) }
func wrapBroken(err error) error  { return errors.Join(ErrBroken, err) }

// connect returns a connection to addr, a kept one unless fresh is set.
func (c *Client) connect(ctx context.Context, addr netip.AddrPort, fresh bool) (*connection, error) {
	if !fresh {
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
	return &connection{Conn: conn, addr: addr, reader: bufio.NewReaderSize(conn, readBufferSize)}, nil
}

// exchange writes r and reads the head of its answer. A body is written while
// the answer is awaited, since a target may answer before it has read it all.
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
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Framed: framed, Length: resp.ContentLength}, nil
}

func newRequest(r *Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, err
	}
	// Opaque keeps the bytes of the path as the caller sent them.
	req := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: r.Host, Opaque: rawPath(r.URI), RawQuery: u.RawQuery, ForceQuery: u.ForceQuery},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req, nil
}

// opaque returns the path of uri without its query.
func rawPath(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

func writeRequest(conn *connection, req *http.Request) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readAnswer reads the answer to req and reads past answers to others.
func readResponse(conn *connection, req *http.Request, echoed func(http.Header) bool) (*http.Response, error) {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if echoed == nil || echoed(resp.Header) {
			return resp, nil
		}
		if foreign++; foreign > maxForeignResponses || resp.Close {
			return nil, Error.New("the answer belongs to another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes {
			return nil, Error.New("the answer belongs to another request: %v", err)
		}
	}
}

// Close ends all kept connections.
func (c *Client) Close() { c.idle.close() }

// body is an answer's body; at its end the connection is kept or closed.
type body struct {
	io.ReadCloser
	conn      *connection
	client    *Client
	ctx       context.Context
	stopAbort func() bool
	framed    bool
	finished  bool
}

// Read reads from the body. An error but io.EOF wraps ErrBroken.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
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

// Close gives the answer up.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(keep bool) {
	if b.finished {
		return
	}
	b.finished = true
	// A stop that comes too late means that the connection is being closed.
	if b.stopAbort() && keep && !b.conn.closeAfterResponse && b.conn.requestWritten() && b.conn.reader.Buffered() == 0 {
		b.client.idle.put(b.conn, b.client.Clock.Now())
		return
	}
	b.conn.Close()
}

// connection is a connection to a target.
type connection struct {
	net.Conn
	addr   netip.AddrPort
	reader *bufio.Reader
	// spent connections are closed after their answer.
	closeAfterResponse bool
	// wrote gets the outcome of writing the request.
	writeResult chan error
	// keep is how long the target keeps the connection idle; zero if unsaid.
	announcedIdleTime time.Duration
	// since is the time of the last use.
	lastUsed time.Time
}

// whole reports whether the request was written to its end: the rest of one that
// is still on its way must not be followed by another request.
func (c *connection) requestWritten() bool {
	select {
	case err := <-c.writeResult:
		return err == nil
	default:
		return false
	}
}

// abort closes the connection. Closing, and not a deadline, tells the target.
func (c *connection) abort() { c.Close() }
