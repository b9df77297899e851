package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastID is the number of the last request.
var lastID atomic.Int64

// newID returns the Request-Id of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5eed0000+lastID.Add(1)) }

// apiKey is the key of the only tenant.
const apiKey = "9dnn2ctnfzs989anu6ws"

// call is one client attempt.
type call struct {
	id, method, host, target string
	deadline                 time.Duration
	// patience, unless zero, is how long the client waits for the head of the answer.
	patience time.Duration
	headers  []string
	body     string
}

// text returns the bytes of the request.
func (c *call) text() string {
	lines := []string{
		fmt.Sprintf("%s %s HTTP/1.1", c.method, c.target),
		"Host: " + c.host,
		"Request-Id: " + c.id,
		fmt.Sprintf("Deadline-Ms: %d", c.deadline.Milliseconds()),
		"Authorization: Bearer " + apiKey,
	}
	lines = append(lines, c.headers...)
	if c.body != "" || c.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(c.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + c.body
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// dial connects to a host.
func dial(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// answer is what a client got. status is zero if the connection ended before an answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// String returns a for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	body := a.body
	if len(body) > 120 {
		body = body[:120] + "..."
	}
	return fmt.Sprintf("%d %q, error %v", a.status, body, a.err)
}

// do sends c on the connection and reads the answer.
func (conn *clientConn) do(c *call) answer {
	sent := time.Now()
	conn.SetDeadline(sent.Add(cmp.Or(c.patience, c.deadline+time.Second)))
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	conn.SetDeadline(sent.Add(c.deadline + time.Second))
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

// send sends c on a connection of its own.
func (b *bench) send(h *host, c *call) answer {
	conn, err := dial(h.frontend)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	b.note("client sends %s %s %s to %s", c.id, c.method, c.target, h.name)
	a := conn.do(c)
	b.note("client gets for %s: %v", c.id, a)
	return a
}
