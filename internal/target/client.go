package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/pkg/declaration"
	"golang.org/x/sync/semaphore"
)

// Bounds of one call to a target.
const (
	maxPieceBytes  = 1 << 20  // one line of an answer
	maxOutputBytes = 16 << 20 // all data of an answer
	maxReplyBytes  = 1 << 20  // the reply to any request but a Run
	maxCancels     = 256      // concurrent cancel requests; further ones are dropped
	maxDrains      = 1024     // answers drained concurrently; further ones close their connection
	maxDrainBytes  = 4 << 10  // data that may follow an end mark

	connectTimeout = time.Second
	cancelTimeout  = time.Second
	askTimeout     = 2 * time.Second
	drainTimeout   = time.Second
)

// AttemptErrorKind says how an attempt broke.
type AttemptErrorKind int

// The kinds of AttemptError.
const (
	// NotSent means that no connection was made, so that nothing of the attempt
	// reached the target.
	NotSent AttemptErrorKind = iota
	// ConnectionLost means that the connection broke after the send had begun.
	ConnectionLost
	// Malformed means that the answer violates the contract: a piece of another
	// attempt, a gap, no end mark, or too much data.
	Malformed
	// Cancelled means that the caller of Run ended its context after the send had
	// begun.
	Cancelled
)

// AttemptError is the error of an attempt that was not sent, or whose connection
// or answer broke.
type AttemptError struct {
	Target string
	Kind   AttemptErrorKind
	Reason string
}

// Error returns the message, which names the target.
func (e *AttemptError) Error() string { return fmt.Sprintf("target %s: %s", e.Target, e.Reason) }

// Failure is the error of an attempt for which the target itself reported a
// failure.
type Failure struct {
	Target string
	// Status is the HTTP status of the answer.
	Status int
	Reason string
}

// Error returns the message, which names the target.
func (f *Failure) Error() string { return fmt.Sprintf("target %s failed: %s", f.Target, f.Reason) }

// Attempt is one run of a stage at one target.
type Attempt struct {
	Target *declaration.Target
	Run    *contract.Run
	// OnSend is called before the first byte may reach the target.
	OnSend func()
	// OnPiece is called with each piece in order. An error ends the attempt.
	OnPiece func(contract.Piece) error
}

// Client runs attempts at targets. Exported fields must be set before the first
// call.
type Client struct {
	HTTP *http.Client

	once    sync.Once
	cancels *semaphore.Weighted
	drains  *semaphore.Weighted
}

func (c *Client) init() {
	c.cancels = semaphore.NewWeighted(maxCancels)
	c.drains = semaphore.NewWeighted(maxDrains)
}

// NewClient returns a client that connects over n.
func NewClient(n link.Network) *Client {
	return &Client{HTTP: &http.Client{Transport: link.Transport(n)}}
}

// Run executes a. It returns nil once the end mark has arrived; otherwise the
// error is an *AttemptError, a *Failure or the error of a.OnPiece.
func (c *Client) Run(ctx context.Context, a *Attempt) error {
	body, err := json.Marshal(a.Run)
	if err != nil {
		return &AttemptError{Target: a.Target.Name, Kind: NotSent, Reason: err.Error()}
	}
	s := newSend(ctx, a)
	req, err := post(s.ctx, a.Target, contract.RunPath, body)
	if err != nil {
		s.cancel()
		return &AttemptError{Target: a.Target.Name, Kind: NotSent, Reason: err.Error()}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		s.cancel()
		return s.connectionError(err)
	}
	err = s.readAnswer(resp)
	c.closeResponse(s, resp, err == nil)
	return err
}

// readAnswer reads the answer in resp.
func (s *send) readAnswer(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return &Failure{Target: s.attempt.Target.Name, Status: resp.StatusCode, Reason: resp.Status}
	}
	return s.readPieces(bufio.NewScanner(resp.Body))
}

// closeResponse closes resp and ends s. The body of a complete answer without a
// content length may end after the end mark; it is then drained in the
// background, so that the connection can be reused.
func (c *Client) closeResponse(s *send, resp *http.Response, whole bool) {
	end := func() {
		resp.Body.Close()
		s.cancel()
	}
	c.once.Do(c.init)
	if !whole || resp.ContentLength >= 0 || !c.drains.TryAcquire(1) {
		end()
		return
	}
	s.detach()
	go func() {
		defer c.drains.Release(1)
		defer end()
		timer := time.AfterFunc(drainTimeout, s.cancel)
		defer timer.Stop()
		io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	}()
}

func post(ctx context.Context, t *declaration.Target, path string, body []byte) (*http.Request, error) {
	url := "http://" + t.Addr.String() + path
	return http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
}

// send is the HTTP request of one attempt, from the dial to its end.
type send struct {
	attempt *Attempt
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	// detach stops ctx from ending with parent.
	detach func() bool
	sent   atomic.Bool
}

// newSend returns a send whose context ends if no connection is made within
// connectTimeout.
func newSend(parent context.Context, a *Attempt) *send {
	s := &send{attempt: a, parent: parent}
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	s.detach = context.AfterFunc(parent, cancel)
	connect := time.AfterFunc(connectTimeout, cancel)
	s.cancel = func() {
		s.detach()
		connect.Stop()
		cancel()
	}
	s.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connect.Stop()
			if s.sent.CompareAndSwap(false, true) && a.OnSend != nil {
				a.OnSend()
			}
		},
	})
	return s
}

// connectionError returns the AttemptError for err, classified by the state of
// the send.
func (s *send) connectionError(err error) error {
	e := &AttemptError{Target: s.attempt.Target.Name, Kind: ConnectionLost, Reason: err.Error()}
	switch {
	case !s.sent.Load():
		e.Kind = NotSent
	case s.parent.Err() != nil:
		e.Kind = Cancelled
	}
	return e
}

func (s *send) malformed(format string, args ...any) error {
	return &AttemptError{Target: s.attempt.Target.Name, Kind: Malformed, Reason: fmt.Sprintf(format, args...)}
}

// lineBufferSize is the size in bytes of the pooled line buffers; a longer line
// gets a buffer of its own.
const lineBufferSize = 4 << 10

// lineBuffers is the pool of line buffers, each a *[]byte. A buffer can be reused
// because a piece keeps no reference to the line that it was decoded from.
var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, lineBufferSize)
	return &b
}}

// readPieces reads the pieces and checks their attempt ID, sequence and end mark.
func (s *send) readPieces(lines *bufio.Scanner) error {
	buf := lineBuffers.Get().(*[]byte)
	defer lineBuffers.Put(buf)
	lines.Buffer(*buf, maxPieceBytes)
	next, size := s.attempt.Run.ResumeFrom, 0
	for lines.Scan() {
		p, err := s.decodePiece(lines.Bytes(), next)
		if err != nil {
			return err
		}
		next++
		size += len(p.Data)
		if size > maxOutputBytes {
			return s.malformed("the answer exceeds %d bytes", maxOutputBytes)
		}
		if err := s.attempt.OnPiece(p); err != nil {
			return err
		}
		if p.End {
			return nil
		}
	}
	return s.truncated(lines.Err())
}

// decodePiece decodes and checks one line.
func (s *send) decodePiece(line []byte, next int) (contract.Piece, error) {
	var p contract.Piece
	if err := json.Unmarshal(line, &p); err != nil {
		return p, s.malformed("a piece is not valid JSON: %v", err)
	}
	if p.AttemptID != s.attempt.Run.AttemptID {
		return p, s.malformed("a piece belongs to another attempt")
	}
	if p.Seq != next {
		return p, s.malformed("got piece %d, want piece %d", p.Seq, next)
	}
	if p.Failure != "" {
		return p, &Failure{Target: s.attempt.Target.Name, Status: http.StatusOK, Reason: p.Failure}
	}
	return p, nil
}

// truncated returns the error of an answer without its end mark. An orderly end
// of the answer is a fault of the target; a broken connection may be its crash.
func (s *send) truncated(err error) error {
	switch err {
	case nil:
		return s.malformed("the answer ended without an end mark")
	case bufio.ErrTooLong:
		return s.malformed("a piece exceeds %d bytes", maxPieceBytes)
	}
	return s.connectionError(err)
}

// Cancel notifies t, in the background, that an attempt is no longer wanted. A
// cancel may be dropped, since the end of the connection means the same.
func (c *Client) Cancel(t *declaration.Target, attemptID string) {
	c.once.Do(c.init)
	if !c.cancels.TryAcquire(1) {
		return
	}
	go func() {
		defer c.cancels.Release(1)
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		body, err := json.Marshal(&contract.Cancel{AttemptID: attemptID})
		if err != nil {
			return
		}
		if req, err := post(ctx, t, contract.CancelPath, body); err == nil {
			c.roundTrip(req)
		}
	}()
}

// Ask asks t whether it ran the request with key. After an error this remains
// unknown.
func (c *Client) Ask(ctx context.Context, t *declaration.Target, key string) (contract.AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply contract.AskReply
	u := url.URL{Scheme: "http", Host: t.Addr.String(), Path: contract.AskPath, RawQuery: url.Values{contract.KeyParam: {key}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return reply, err
	}
	src, err := c.roundTrip(req)
	if err != nil {
		return reply, err
	}
	err = json.Unmarshal(src, &reply)
	return reply, err
}

// roundTrip sends a request other than a Run and reads the reply.
func (c *Client) roundTrip(req *http.Request) ([]byte, error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	src, err := link.ReadBody(resp.Body, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", req.URL, resp.Status)
	}
	return src, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }
