package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"github.com/cockroachdb/datadriven"
)

// scriptedTarget responds to the requests on each of its connections with a list
// of raw responses in turn, and closes the connection after the last one.
type scriptedTarget struct {
	listener net.Listener
	conns    chan net.Conn
}

func newScriptedTarget(t *testing.T, responses []string, early bool) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l, conns: make(chan net.Conn, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
			go serveScript(conn, responses, early)
		}
	}()
	return s
}

func (s *scriptedTarget) addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func serveScript(conn net.Conn, responses []string, early bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, resp := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !early {
			io.Copy(io.Discard, req.Body)
		}
		io.WriteString(conn, resp)
	}
}

func newClient(t *testing.T) *Client {
	c := &Client{Net: link.TCP{}, Clock: &clock.Service{}}
	t.Cleanup(c.Close)
	return c
}

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, URI: "/a%2Fb?c=d", Host: "h", Header: http.Header{},
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// describe sends a request and describes the outcome.
func describe(c *Client, addr netip.AddrPort, r *Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, addr, r)
	if err != nil {
		return "error " + errorKind(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return "body error " + errorKind(err)
	}
	return "response " + string(body)
}

func errorKind(err error) string {
	switch {
	case errors.Is(err, ErrNotSent):
		return "not sent"
	case errors.Is(err, ErrBroken):
		return "broken"
	default:
		return "of unknown kind"
	}
}

// TestResponses runs testdata/responses, which lists raw responses of a target and
// the outcomes of two requests, "one" and "two", that are sent to it in turn. With
// the argument "early" the target responds before it has read the request's body.
func TestResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/responses", func(t *testing.T, d *datadriven.TestData) string {
		input := strings.ReplaceAll(d.Input, "\n", "\r\n")
		responses := strings.Split(input, "---\r\n")
		target := newScriptedTarget(t, responses, d.HasArg("early"))
		c := newClient(t)
		out := describe(c, target.addr(), get("one")) + "\n"
		time.Sleep(20 * time.Millisecond)
		return out + describe(c, target.addr(), get("two")) + "\n"
	})
}

// TestEarlyResponse checks that a connection is not reused after a response that
// arrived before the request was read, since the rest of the body is still to be
// sent.
func TestEarlyResponse(t *testing.T) {
	target := newScriptedTarget(t, []string{"HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 0\r\n\r\n"}, true)
	c := newClient(t)
	r := get("one")
	r.Method, r.Body = http.MethodPost, make([]byte, 64<<20)
	if got := describe(c, target.addr(), r); got != "response " {
		t.Error(got)
	}
	if conn := c.idle.pop(target.addr()); conn != nil {
		t.Error("the connection was kept for reuse")
	}
}

// TestNotSent checks that a refused connection is distinguished from an incomplete
// response.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	if got := describe(newClient(t), addr, get("one")); got != "error not sent" {
		t.Error(got)
	}
}

// TestCancelCloses checks that the connection is closed when the context ends, so
// that the target can drop the request.
func TestCancelCloses(t *testing.T) {
	target := newScriptedTarget(t, []string{"", ""}, false)
	c := newClient(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, target.addr(), get("one"))
	if !errors.Is(err, ErrBroken) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	conn := <-target.conns
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open")
	}
}

// TestBytesOnTheWire checks the bytes of a request as a target receives them: the
// path and query are unchanged, and no header field is added but Host and
// Content-Length.
func TestBytesOnTheWire(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	req, err := newRequest(&Request{Method: http.MethodPost, URI: "/a%2Fb//c?x=%20&y", Host: "h.example", Header: http.Header{"X": {"1"}, "User-Agent": {""}}, Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		writeRequest(&connection{Conn: far}, req)
		far.Close()
	}()
	got, err := io.ReadAll(near)
	if err != nil {
		t.Fatal(err)
	}
	const want = "POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nX: 1\r\n\r\nbody"
	if string(got) != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
