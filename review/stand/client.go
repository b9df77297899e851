package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID             string
	Method         string
	Host, Path     string
	Key            string
	Body           string
	Prompt         string
	Chunks         string
	Deadline       time.Duration
	SentAt, DoneAt time.Time
	Machine        string

	// Status is zero without an answer. Complete is set if the whole answer arrived.
	Status   int
	Complete bool
	Events   int
	Err      string
	// Refusal is the first line of an answer other than 200.
	Refusal string
}

var requestCount atomic.Int64

// newID returns an id for a request.
func newID(kind string) string {
	return fmt.Sprintf("%s-%04d", kind, requestCount.Add(1))
}

// Send sends the request to a machine over a new connection and reads the answer.
func (q *Request) Send(h *Host) {
	q.Machine = h.Name
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	q.SentAt = time.Now()
	defer func() { q.DoneAt = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.CallerAddr+q.Path, strings.NewReader(q.Body))
	if err != nil {
		q.Err = err.Error()
		return
	}
	req.Host = q.Host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	for name, value := range map[string]string{"Authorization": "Bearer " + q.Key, "Prompt-Prefix": q.Prompt, "Chunks": q.Chunks} {
		if value != "" && value != "Bearer " {
			req.Header.Set(name, value)
		}
	}
	if q.Prompt != "" {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", "1460,80")
	}
	if q.Chunks != "" {
		req.Header.Set("Chunk-Key", "key-"+q.ID)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		q.Err = err.Error()
		return
	}
	defer resp.Body.Close()
	q.Status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			q.Events++
		}
		if q.Status != http.StatusOK && q.Refusal == "" {
			q.Refusal = strings.TrimSpace(line)
		}
		if errors.Is(err, io.EOF) {
			q.Complete = true
			return
		}
		if err != nil {
			q.Err = err.Error()
			return
		}
	}
}

// Served reports whether the request was answered with success.
func (q *Request) Served() bool { return q.Complete && q.Status == http.StatusOK }

// Outcome describes the answer.
func (q *Request) Outcome() string {
	switch {
	case q.Status == 0:
		return "no answer: " + q.Err
	case !q.Complete:
		return fmt.Sprintf("answer %d cut after %d events: %s", q.Status, q.Events, q.Err)
	default:
		return strings.TrimSpace(fmt.Sprintf("answer %d, whole, %d events %s", q.Status, q.Events, q.Refusal))
	}
}
