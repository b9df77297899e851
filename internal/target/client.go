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
	maxReplyBytes  = 1 << 20  // the reply to anything but a Run
	maxCancels     = 256      // cancels under way at once; more are dropped
	maxDrains      = 1024     // ends of answers waited for at once; else the connection is closed
	maxDrainBytes  = 4 << 10  // what may follow an end mark

	connectTimeout = time.Second
	cancelTimeout  = time.Second
	askTimeout     = 2 * time.Second
	drainTimeout   = time.Second
)

// BrokenKind says how an attempt broke.
type AttemptErrorKind int

// The kinds of broken attempts.
const (
	// NotSent means that no connection was made, so that nothing of the attempt
	// reached the target.
	NotSent AttemptErrorKind = iota
	// Lost means that the connection broke after the send had begun.
	ConnectionLost
	// Garbled means that the answer breaks the contract: a piece of another
	// attempt, a gap, no end mark, or too much data.
	Malformed
	// GivenUp means that the caller of Run ended its context after the send had
	// begun.
	Cancelled
)

// Broken is the error of an attempt whose connection or answer broke.
type AttemptError struct {
	Target string
	Kind   AttemptErrorKind
	Reason string
}

// Error names the target and the reason.
func (b *AttemptError) Error() string { return fmt.Sprintf("target %s: %s", b.Target, b.Reason) }

// Failure is a target's own statement that the stage failed.
type Failure struct {
	Target string
	// Status is the HTTP status of the answer.
	Status int
	Reason string
}

// Error names the target and the reason.
func (f *Failure) Error() string { return fmt.Sprintf("target %s failed: %s", f.Target, f.Reason) }

// Attempt is one run at one target.
type Attempt struct {
	Target *declaration.Target
	Run    *contract.Run
	// OnSend is called before the first byte may reach the target.
	OnSend func()
	// Each is called with each piece in order. Its error ends the attempt.
	OnPiece func(contract.Piece) error
}

// Client runs attempts at targets. Exported fields are set before the first
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

// NewClient returns a client over n.
func NewClient(n link.Network) *Client {
	return &Client{HTTP: &http.Client{Transport: link.Transport(n)}}
}

// Run executes a. It returns nil once the end mark came; its error is a
// *Broken, a *Failure or the error of a.Each.
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

// read reads the answer.
func (s *send) readAnswer(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return &Failure{Target: s.attempt.Target.Name, Status: resp.StatusCode, Reason: resp.Status}
	}
	return s.readPieces(bufio.NewScanner(resp.Body))
}

// release ends s. The end of a whole answer without a length may come after its
// end mark; it is waited for in the background, so that the connection can be
// used again.
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
		late := time.AfterFunc(drainTimeout, s.cancel)
		defer late.Stop()
		io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	}()
}

func post(ctx context.Context, t *declaration.Target, path string, body []byte) (*http.Request, error) {
	url := "http://" + t.Addr.String() + path
	return http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
}

// send follows one attempt from the dial to its end.
type send struct {
	attempt *Attempt
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	// detach keeps the end of parent from ending ctx.
	detach func() bool
	sent   atomic.Bool
}

// newSend returns a send whose context ends when no connection was made within
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

// broken classifies the end of the connection.
func (s *send) connectionError(err error) error {
	b := &AttemptError{Target: s.attempt.Target.Name, Kind: ConnectionLost, Reason: err.Error()}
	switch {
	case !s.sent.Load():
		b.Kind = NotSent
	case s.parent.Err() != nil:
		b.Kind = Cancelled
	}
	return b
}

func (s *send) malformed(format string, args ...any) error {
	return &AttemptError{Target: s.attempt.Target.Name, Kind: Malformed, Reason: fmt.Sprintf(format, args...)}
}

// lineBytes is the size of the buffers for lines; a longer line has its own.
const lineBufferSize = 4 << 10

// lineBuffers holds the buffers for lines, each a *[]byte. A piece keeps nothing
// of the line that it was decoded from.
var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, lineBufferSize)
	return &b
}}

// readPieces checks attempt, sequence and end mark of the pieces.
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

// piece decodes and checks one line.
func (s *send) decodePiece(line []byte, next int) (contract.Piece, error) {
	var p contract.Piece
	if err := json.Unmarshal(line, &p); err != nil {
		return p, s.malformed("a piece is no JSON: %v", err)
	}
	if p.AttemptID != s.attempt.Run.AttemptID {
		return p, s.malformed("a piece of another attempt")
	}
	if p.Seq != next {
		return p, s.malformed("piece %d where %d was due", p.Seq, next)
	}
	if p.Failure != "" {
		return p, &Failure{Target: s.attempt.Target.Name, Status: http.StatusOK, Reason: p.Failure}
	}
	return p, nil
}

// cutShort is the error of an answer without its end mark. An orderly end of
// the answer is the target's fault, a broken connection may be its crash.
func (s *send) truncated(err error) error {
	switch err {
	case nil:
		return s.malformed("the answer ended without its end mark")
	case bufio.ErrTooLong:
		return s.malformed("a piece exceeds %d bytes", maxPieceBytes)
	}
	return s.connectionError(err)
}

// Cancel tells t, in the background, that an attempt is no longer wanted. The
// end of the connection says the same, so that a cancel may be dropped.
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

// Ask asks t whether it ran a key. An error leaves the question open.
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

// exchange sends a message other than a Run and reads the reply.
func (c *Client) roundTrip(req *http.Request) ([]byte, error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	src, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", req.URL, resp.Status)
	}
	return src, nil
}

// Close ends the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }
