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

// Error is the class of errors that are not results of the system.
var Error = errs.Class("caller")

// Timing of a request and its retries.
const (
	// defaultDeadline is the time allowed for a request without a deadline.
	defaultDeadline = 30 * time.Second
	// answerGrace is the time after the deadline during which the client still
	// waits for the answer.
	answerGrace     = 2 * time.Second
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
)

// Client sends requests to the hosts of the system. It retries a request, at
// another host, only if that is safe: no text of the answer has been delivered
// to the caller, and either nothing of the request ran, or it has an idempotency
// key, or it is one that the system accepts without a key. Exported fields
// must be set before the first call.
type Client struct {
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// Hosts are tried in turn, starting with the first.
	Hosts     []netip.AddrPort
	Workspace string
	// Token is sent as a bearer token if it is not empty.
	Token string

	clock clock.Service
}

// Request is a request for one run of a pipeline.
type Request struct {
	Pipeline string
	Input    Input
	// Deadline is the time allowed for the request, including all retries; zero
	// means 30 s.
	Deadline time.Duration
	// Priority is sent if it is not nil; higher goes first.
	Priority *int
	// Key is the idempotency key of a non-idempotent request; see NewKey.
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

// NoAnswerError is the error of a request that got no complete answer.
type NoAnswerError struct {
	// Sent means that the request may have reached a host. If it has no key, it
	// is then unknown what ran.
	Sent  bool
	Cause error
}

// Error includes the text of the cause.
func (e *NoAnswerError) Error() string { return "caller: no complete answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// Call sends r and returns its complete answer. If the answer's code is not OK,
// the error is a *result.Error and the answer is returned with it. If there is no
// complete answer, the error is a *NoAnswerError.
func (c *Client) Call(ctx context.Context, r *Request) (*Answer, error) {
	return c.run(ctx, r, nil)
}

// Stream is like Call, and also passes the text of the last stage to each as it
// arrives. An error from each ends the request.
func (c *Client) Stream(ctx context.Context, r *Request, each func(data string) error) (*Answer, error) {
	return c.run(ctx, r, each)
}

// attempt is one send of a request and its outcome.
type attempt struct {
	answer *Answer
	// sent means that the request may have reached the host, delivered that text
	// of the answer was passed to the caller.
	sent, delivered bool
	err             error
}

// run tries the hosts in turn until one gives a final answer or the deadline
// passes.
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
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: minRetryBackoff, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxRetryBackoff}
	retryBackoff.Reset()
	for i := 0; ; i++ {
		t := c.send(ctx, c.Hosts[i%len(c.Hosts)], r, end.Sub(c.clock.Now()), each)
		retry, pause := t.mayRetry()
		pause = max(pause, retryBackoff.NextBackOff())
		if i+1 < len(c.Hosts) && !t.sent {
			pause = 0
		}
		if !retry || !c.clock.Now().Add(pause).Before(end) {
			return t.outcome()
		}
		if c.clock.Sleep(ctx, pause) != nil {
			return t.outcome()
		}
	}
}

// mayRetry reports whether the request may be sent again, and the minimum time to
// wait before that.
func (t *attempt) mayRetry() (bool, time.Duration) {
	switch {
	case t.delivered:
		return false, 0
	case t.answer == nil:
		// Without a key the system accepts only requests that may run twice.
		return true, 0
	case t.answer.Code == result.InProgress:
		return true, t.answer.RetryAfter
	case t.answer.Ran != result.RanNo:
		return false, 0
	}
	return t.answer.Code >= result.Draining, t.answer.RetryAfter
}

// outcome returns the answer and error for the caller.
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
		return &attempt{delivered: true, err: err} // delivered rules out a retry
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
