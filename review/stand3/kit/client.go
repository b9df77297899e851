package kit

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client received.
type Answer struct {
	ID     string
	Status int // zero if there was no complete answer
	Header http.Header
	Body   string
	Err    error
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, Body string
	Deadline                 time.Duration
	Header                   map[string]string
}

// NewID returns a request ID.
func NewID() string { return strconv.FormatUint(rand.Uint64()|1<<63, 16) }

// Send sends one request to a host over a new connection, reads its answer and records both.
func Send(run *Run, h *Host, id string, q Request) Answer {
	run.Logf("client: %s %s as %s to %s", q.Method, q.Path, id, h.Name)
	a := send(h, id, q)
	run.Logf("client: answer to %s: status %d, %d bytes, error %v", id, a.Status, len(a.Body), a.Err)
	return a
}

func send(h *Host, id string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.CallerAddr+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	r.Host, r.Close = q.Host, true
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range q.Header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{ID: id, Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}
