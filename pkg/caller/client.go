package caller

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of the errors that are no result of the system.
var Error = errs.Class("caller")

// Bounds of the repeats.
const (
	// defaultDeadline is the time for a request that states none.
	defaultDeadline = 30 * time.Second
	// answerGrace is the time beyond the deadline in which the answer may come.
	answerGrace     = 2 * time.Second
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
)

// Client sends requests to the hosts of the system. It repeats a request, at
// another host, only where that is safe: nothing of it ran, or the request has
// an idempotency key, or it is one that the system takes without a key, and no
// text of the answer has been handed on. Exported fields are set before the
// first call.
type Client struct {
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// Hosts are tried in order, beginning with the first.
	Hosts     []netip.AddrPort
	Workspace string
	// Token is sent as a bearer token unless it is empty.
	Token string

	clock clock.Service
}

// Request is one request of a caller.
type Request struct {
	Pipeline string
	Input    Input
	// Deadline is the time for the request, all repeats included; zero means
	// half a minute.
	Deadline time.Duration
	// Priority is sent unless it is nil; higher goes first.
	Priority *int
	// Key is the idempotency key of a non-idempotent request, see NewKey.
	Key string
}

// NewKey returns an idempotency key for a new request.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", Error.Wrap(err)
	}
	return id.String(), nil
}

// Lost is the error of a request without a whole answer.
type NoAnswerError struct {
	// Sent says that the request may have reached a host. Without a key it is
	// then not known what ran.
	Sent  bool
	Cause error
}

// Error names the cause.
func (l *NoAnswerError) Error() string { return "caller: no whole answer: " + l.Cause.Error() }

// Unwrap returns the cause.
func (l *NoAnswerError) Unwrap() error { return l.Cause }

// Call sends r and returns its whole answer. The error of a request that ended
// in another code than OK is a *result.Error, beside the answer; that of one
// without an answer is a *Lost.
func (c *Client) Call(ctx context.Context, r *Request) (*Answer, error) {
	return c.run(ctx, r, nil)
}

// Stream is Call with the text of the last stage given to each as it comes. An
// error of each ends the request.
func (c *Client) Stream(ctx context.Context, r *Request, each func(data string) error) (*Answer, error) {
	return c.run(ctx, r, each)
}

// try is one send of a request and its end.
type attempt struct {
	answer *Answer
	// sent says that a connection was made, given that text was handed on.
	sent, delivered bool
	err             error
}

// run tries hosts until one gives a final answer or the deadline passes.
func (c *Client) run(ctx context.Context, r *Request, each func(string) error) (*Answer, error) {
	if len(c.Hosts) == 0 {
		return nil, Error.New("no hosts")
	}
	deadline := r.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	end := c.clock.Now().Add(deadline)
	ctx, cancel := context.WithDeadline(ctx, end.Add(answerGrace))
	defer cancel()
	pauses := &backoff.ExponentialBackOff{InitialInterval: minRetryBackoff, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxRetryBackoff}
	pauses.Reset()
	for i := 0; ; i++ {
		t := c.send(ctx, c.Hosts[i%len(c.Hosts)], r, end.Sub(c.clock.Now()), each)
		again, pause := t.mayRetry()
		pause = max(pause, pauses.NextBackOff())
		if i+1 < len(c.Hosts) && !t.sent {
			pause = 0
		}
		if !again || !c.clock.Now().Add(pause).Before(end) {
			return t.outcome()
		}
		if c.clock.Sleep(ctx, pause) != nil {
			return t.outcome()
		}
	}
}

// repeat reports whether the request may be sent again, and after what time at
// the earliest.
func (t *attempt) mayRetry() (bool, time.Duration) {
	switch {
	case t.delivered:
		return false, 0
	case t.answer == nil:
		// Without a key the system takes only requests that may run twice.
		return true, 0
	case t.answer.Code == result.InProgress:
		return true, t.answer.RetryAfter
	case t.answer.Ran != result.RanNo:
		return false, 0
	}
	return t.answer.Code >= result.Draining, t.answer.RetryAfter
}

// end returns what the caller is told.
func (t *attempt) outcome() (*Answer, error) {
	a := t.answer
	if a == nil {
		return nil, &NoAnswerError{Sent: t.sent, Cause: t.err}
	}
	if a.Code != result.OK {
		return a, &result.Error{Code: a.Code, Ran: a.Ran, Message: a.Message, Place: a.Place, RetryAfter: a.RetryAfter}
	}
	return a, nil
}

// send sends r once.
func (c *Client) send(ctx context.Context, host netip.AddrPort, r *Request, left time.Duration, each func(string) error) *attempt {
	req, err := c.newRequest(ctx, host, r, left, each != nil)
	if err != nil {
		return &attempt{delivered: true, err: err}
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return &attempt{sent: !errors.Is(err, syscall.ECONNREFUSED), err: err}
	}
	defer resp.Body.Close()
	t := &attempt{sent: true}
	t.readAnswer(resp, each)
	return t
}

func (c *Client) newRequest(ctx context.Context, host netip.AddrPort, r *Request, left time.Duration, stream bool) (*http.Request, error) {
	url := "http://" + host.String() + "/v1/workspaces/" + c.Workspace + "/pipelines/" + r.Pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Input))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(DeadlineHeader, left.Round(time.Millisecond).String())
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if r.Key != "" {
		req.Header.Set(KeyHeader, r.Key)
	}
	if r.Priority != nil {
		req.Header.Set(PriorityHeader, strconv.Itoa(*r.Priority))
	}
	if stream {
		req.Header.Set("Accept", StreamType)
	}
	return req, nil
}
