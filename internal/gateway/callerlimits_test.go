package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// newLimitedFixture is newFixture with a limit on the size of bodies and with changed
// settings.
func newLimitedFixture(t *testing.T, kind catalog.Kind, bodyBytes int64, change func(*settings.Gateway), targets ...behaviour) *fixture {
	t.Helper()
	r := prepareFixture(t, route(kind, nil), targets...)
	r.feed.table.Limits.BodyBytes = bodyBytes
	if change != nil {
		change(r.host.Settings)
	}
	r.start()
	return r
}

// dial connects a caller.
func (r *fixture) dial() net.Conn {
	r.t.Helper()
	conn, err := r.network.Process(netip.MustParseAddr("10.0.0.2")).Dial(context.Background(), callerAddr)
	if err != nil {
		r.t.Fatal(err)
	}
	return conn
}

// begin sends the head of a request with further fields, and the start of its body.
func (r *fixture) begin(conn net.Conn, body string, fields ...string) {
	r.t.Helper()
	head := "POST /a/b HTTP/1.1\r\nHost: h.example\r\n" + strings.Join(fields, "\r\n") + "\r\nId: r1\r\n\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		r.t.Fatal(err)
	}
}

// outcome reads a response and describes it, or the lack of one.
func outcome(conn net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowReadBytes), nil)
	if err != nil {
		return "no response"
	}
	defer resp.Body.Close()
	text := fmt.Sprint(resp.StatusCode)
	if retry := resp.Header.Get("Retry"); retry != "" && retry != "0s" {
		text += " with retry"
	}
	if resp.Close {
		text += " and close"
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		text += " cut"
	}
	return text
}

// TestBodiesThatEndNot checks what becomes of bodies that are too large, pause or take
// too long. All of them once held the host's memory for as long as their callers liked.
func TestBodiesThatEndNot(t *testing.T) {
	drip := func(pause time.Duration, n int) func(net.Conn) {
		return func(conn net.Conn) {
			for range n {
				time.Sleep(pause)
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}
	}
	for _, c := range []struct {
		name   string
		fields []string
		body   string
		then   func(net.Conn)
		want   string
		// took is when the response comes, rounded to seconds.
		took time.Duration
	}{
		{"announced over the limit", []string{"Content-Length: 1001"}, "", nil, "413 and close", 0},
		{"over the limit", []string{"Transfer-Encoding: chunked"}, "400\r\n" + strings.Repeat("x", 1024), nil, "413 and close", 0},
		{"paused", []string{"Content-Length: 10"}, "12345", nil, "408 and close", 10 * time.Second},
		{"paused in a chunk", []string{"Transfer-Encoding: chunked"}, "400\r\n12345", nil, "408 and close", 10 * time.Second},
		{"paused, refused before", []string{"Content-Length: 10", "Id:"}, "12345", nil, "400 and close", 10 * time.Second},
		{"nothing", []string{"Content-Length: 10"}, "", nil, "408 and close", 10 * time.Second},
		{"past the deadline", []string{"Content-Length: 100", "Wait: 5000"}, "", drip(time.Second, 100), "408 and close", 5 * time.Second},
		{"slow but steady", []string{"Content-Length: 5"}, "", drip(9*time.Second, 5), "200", 45 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLimitedFixture(t, catalog.Unsafe, 1000, nil, respondsWith("x"))
				defer r.close()
				conn := r.dial()
				defer conn.Close()
				start := time.Now()
				r.begin(conn, c.body, c.fields...)
				if c.then != nil {
					go c.then(conn)
				}
				got := outcome(conn)
				if took := time.Since(start).Round(time.Second); got != c.want || took != c.took {
					t.Errorf("got %q after %v, want %q after %v", got, took, c.want, c.took)
				}
				if used := r.host.bodies.small.Used() + r.host.bodies.large.Used(); used != 0 {
					t.Errorf("%d bytes are still counted", used)
				}
			})
		})
	}
}

// TestBodyLimitsEndWithTheBody checks that a request that waits for its target is not
// ended by the limits on its body.
func TestBodyLimitsEndWithTheBody(t *testing.T) {
	for name, request := range map[string][]string{
		"with length": {"12345", "Content-Length: 5"},
		"chunked":     {"5\r\n12345\r\n0\r\n\r\n", "Transfer-Encoding: chunked"},
		"no body":     {"", "Accept: x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := func(w http.ResponseWriter, req *http.Request) {
					time.Sleep(30 * time.Second)
					respondsWith("x")(w, req)
				}
				r := newLimitedFixture(t, catalog.Unsafe, 1000, nil, slow)
				defer r.close()
				conn := r.dial()
				defer conn.Close()
				r.begin(conn, request[0], request[1:]...)
				if got := outcome(conn); got != "200" {
					t.Error(got)
				}
			})
		})
	}
}

// TestLargeBodiesLeaveRoom checks that a crowd of large bodies that are not completed
// makes no small body fail, and that the one that has paused longest gives way to another
// large one, with a refusal that says when to come back.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLimitedFixture(t, catalog.Unsafe, 1<<20, func(s *settings.Gateway) { s.BodyMemoryMB = 2 }, respondsWith("x"))
		defer r.close()
		const length = 500_000
		field := fmt.Sprintf("Content-Length: %d", length)
		var crowd []net.Conn
		for range 6 {
			conn := r.dial()
			defer conn.Close()
			r.begin(conn, strings.Repeat("x", length-1), field)
			time.Sleep(20 * time.Millisecond)
			crowd = append(crowd, conn)
		}
		for _, conn := range crowd[4:] {
			if got := outcome(conn); got != "503 with retry and close" {
				t.Errorf("a body beyond the memory got %q", got)
			}
		}
		if got := r.post("/a/b"); got != `200 signed t "x"` {
			t.Errorf("a small body got %s", got)
		}
		time.Sleep(minStallTime)
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, strings.Repeat("x", length), field)
		if got := outcome(conn); got != "200" {
			t.Errorf("another large body got %q", got)
		}
		if got := outcome(crowd[0]); got != "503 with retry and close" {
			t.Errorf("the body that paused longest got %q", got)
		}
		io.WriteString(crowd[1], "x")
		if got := outcome(crowd[1]); got != "200" {
			t.Errorf("a body that went on got %q", got)
		}
	})
}

// isOpen reports whether the host keeps conn open.
func isOpen(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout() || err != nil && strings.Contains(err.Error(), "timeout")
}

// TestConnectionsAreBounded checks that the connection that has been idle longest gives
// way to a new one, and that neither a connection whose request is being served nor one
// that has been served before does while others have brought nothing.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(w http.ResponseWriter, req *http.Request) {
			time.Sleep(2 * time.Second)
			respondsWith("x")(w, req)
		}
		r := newLimitedFixture(t, catalog.Unsafe, 1000, func(s *settings.Gateway) { s.MaxConns = 4 }, slow)
		defer r.close()
		served := r.dial()
		defer served.Close()
		r.begin(served, "12345", "Content-Length: 5")
		if got := outcome(served); got != "200" {
			t.Fatal(got)
		}
		waits := r.dial()
		defer waits.Close()
		r.begin(waits, "12345", "Content-Length: 5")
		time.Sleep(100 * time.Millisecond)
		first, second := r.dial(), r.dial()
		defer first.Close()
		defer second.Close()
		time.Sleep(100 * time.Millisecond)
		third := r.dial()
		defer third.Close()
		time.Sleep(100 * time.Millisecond)
		for _, c := range []struct {
			name string
			conn net.Conn
			want bool
		}{{"the served connection", served, true}, {"the oldest silent one", first, false}, {"another silent one", second, true}, {"the new one", third, true}} {
			if got := isOpen(c.conn); got != c.want {
				t.Errorf("%s is open: %v, want %v", c.name, got, c.want)
			}
		}
		waits.SetReadDeadline(time.Time{})
		if got := outcome(waits); got != "200" {
			t.Errorf("the request in service got %q", got)
		}
	})
}

// TestConnectionsInUseStay checks that a new connection is refused if all others are in
// use.
func TestConnectionsInUseStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(w http.ResponseWriter, req *http.Request) {
			time.Sleep(2 * time.Second)
			respondsWith("x")(w, req)
		}
		r := newLimitedFixture(t, catalog.Unsafe, 1000, func(s *settings.Gateway) { s.MaxConns = 2 }, slow)
		defer r.close()
		var inUse []net.Conn
		for range 2 {
			conn := r.dial()
			defer conn.Close()
			r.begin(conn, "12345", "Content-Length: 5")
			inUse = append(inUse, conn)
		}
		time.Sleep(100 * time.Millisecond)
		extra := r.dial()
		defer extra.Close()
		time.Sleep(100 * time.Millisecond)
		if isOpen(extra) {
			t.Error("a connection beyond the maximum is open")
		}
		for _, conn := range inUse {
			if got := outcome(conn); got != "200" {
				t.Error(got)
			}
		}
	})
}

// TestManyHeaderLines checks that headers with very many short lines, which take many
// times their size in memory, are counted.
func TestManyHeaderLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLimitedFixture(t, catalog.Unsafe, 1000, func(s *settings.Gateway) {
			s.HeaderMemoryMB, s.HeaderWait = 0.3, declaration.Duration(time.Second)
		}, respondsWith("x"))
		defer r.close()
		var lines strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&lines, "H%d:\r\n", i)
		}
		half := "POST /a/b HTTP/1.1\r\nHost: h.example\r\n" + lines.String()
		first, second := r.dial(), r.dial()
		defer first.Close()
		defer second.Close()
		io.WriteString(first, half)
		time.Sleep(100 * time.Millisecond)
		io.WriteString(second, half)
		if got := outcome(second); got != "400 and close" {
			t.Errorf("the second such header got %q", got)
		}
		io.WriteString(first, "Id: r1\r\nContent-Length: 1\r\n\r\nx")
		if got := outcome(first); got != "200" {
			t.Errorf("the first such header got %q", got)
		}
		time.Sleep(time.Second)
		if used := r.host.conns.Headers.Used(); used != 0 {
			t.Errorf("%d bytes are still counted", used)
		}
	})
}

// TestHeadersWaitForMemory checks that concurrent requests whose headers have very many
// lines, each within the configured limit, are all served by the smallest host: many that
// hold their memory briefly, and two dozen that hold it for longer than others wait. They
// once were refused as soon as the memory for lines was taken.
func TestHeadersWaitForMemory(t *testing.T) {
	t.Run("brief", func(t *testing.T) { serveHeaderLines(t, 60, 0, 200*time.Millisecond) })
	t.Run("long", func(t *testing.T) { serveHeaderLines(t, 24, 0, 10*time.Second) })
	// Headers that took memory for each part as it arrives would wait for each other.
	t.Run("in parts", func(t *testing.T) { serveHeaderLines(t, 120, 200*time.Millisecond, 0) })
}

// serveHeaderLines checks that so many concurrent requests with many header lines, which
// callers send with a pause in between and which each take the target the given time, are
// served.
func serveHeaderLines(t *testing.T, requests int, pause, took time.Duration) {
	t.Helper()
	const lines = 1000
	synctest.Test(t, func(t *testing.T) {
		slow := func(w http.ResponseWriter, req *http.Request) {
			time.Sleep(took)
			respondsWith("x")(w, req)
		}
		r := newLimitedFixture(t, catalog.Unsafe, 1000, func(s *settings.Gateway) { s.MemoryMB, s.MaxFDs = 136, 2870 }, slow)
		defer r.close()
		text := "POST /a/b HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nContent-Length: 5\r\nConnection: close\r\n"
		for i := range lines {
			text += fmt.Sprintf("H%d:\r\n", i)
		}
		text += "\r\n12345"
		outcomes := make(chan string, requests)
		for range requests {
			conn := r.dial()
			defer conn.Close()
			go func() {
				io.WriteString(conn, text[:len(text)/2])
				time.Sleep(pause)
				io.WriteString(conn, text[len(text)/2:])
				outcomes <- outcome(conn)
			}()
		}
		got := map[string]int{}
		for range requests {
			got[<-outcomes]++
		}
		if got["200 and close"] != requests {
			t.Errorf("%d requests got %v", requests, got)
		}
		time.Sleep(time.Second)
		if used := r.host.conns.Headers.Used(); used != 0 {
			t.Errorf("%d bytes are still counted", used)
		}
	})
}

// TestHeaderWaitIsNotTheCallers checks that the time for which a header waits for memory
// doesn't count towards the time in which the caller has to send it.
func TestHeaderWaitIsNotTheCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLimitedFixture(t, catalog.Unsafe, 1000, func(s *settings.Gateway) { s.HeaderMemoryMB = 0.3 }, respondsWith("x"))
		defer r.close()
		half := "POST /a/b HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("H:\r\n", 1000)
		first, second := r.dial(), r.dial()
		defer first.Close()
		defer second.Close()
		io.WriteString(first, half)
		time.Sleep(500 * time.Millisecond)
		io.WriteString(second, half)
		if got := outcome(first); got != "no response" {
			t.Errorf("the first header, which does not end, got %q", got)
		}
		time.Sleep(time.Second)
		io.WriteString(second, "Id: r1\r\nContent-Length: 1\r\n\r\nx")
		if got := outcome(second); got != "200" {
			t.Errorf("the header that waited got %q", got)
		}
	})
}

// TestLinesOfBodies checks that the lines of a body are not counted as lines of a header,
// with which they may arrive. They once made crowds of small chunks fail.
func TestLinesOfBodies(t *testing.T) {
	for name, request := range map[string][]string{
		"lines":        {strings.Repeat("\n", 2000), "Content-Length: 2000"},
		"small chunks": {strings.Repeat("1\r\nx\r\n", 500) + "0\r\n\r\n", "Transfer-Encoding: chunked"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLimitedFixture(t, catalog.Unsafe, 10_000, func(s *settings.Gateway) { s.HeaderMemoryMB = 0.0001 }, respondsWith("x"))
				defer r.close()
				conn := r.dial()
				defer conn.Close()
				for range 2 {
					r.begin(conn, request[0], request[1:]...)
					if got := outcome(conn); got != "200" {
						t.Error(got)
					}
				}
			})
		})
	}
}

// largeAnswerBytes is the size of the answers to slow readers.
const largeAnswerBytes = 3 << 20

// TestUnreadResponse checks that a caller that reads nothing is disconnected and that the
// memory of its response is free then. It once was held for as long as the caller liked.
func TestUnreadResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLimitedFixture(t, catalog.Unsafe, 1000, nil, respondsWith(strings.Repeat("x", largeAnswerBytes)))
		defer r.close()
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, "12345", "Content-Length: 5")
		time.Sleep(r.host.limits.WritePause - time.Second)
		if r.host.ResponseMemory.Used() == 0 {
			t.Error("the response is not counted")
		}
		time.Sleep(3 * time.Second)
		if used := r.host.ResponseMemory.Used(); used != 0 {
			t.Errorf("%d bytes are still counted", used)
		}
	})
}

// TestSlowReader checks that a caller that reads slowly but steadily gets all.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLimitedFixture(t, catalog.Unsafe, 1000, nil, respondsWith(strings.Repeat("x", largeAnswerBytes)))
		defer r.close()
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, "12345", "Content-Length: 5", "Connection: close")
		if got := outcome(&slowConn{conn, 5 * time.Second}); got != "200 and close" {
			t.Error(got)
		}
	})
}

// slowReadBytes is the size of the reads of callers.
const slowReadBytes = 64 << 10

// slowConn is a connection whose reads take time and bring all that was asked for, up to
// the end of the connection.
type slowConn struct {
	net.Conn
	pause time.Duration
}

func (c *slowConn) Read(b []byte) (int, error) {
	time.Sleep(c.pause)
	n, err := io.ReadFull(c.Conn, b)
	if n > 0 {
		err = nil
	}
	return n, err
}

// TestSlowStreamReader checks that a stream is read from its target while the caller
// reads nothing for a while, since targets abort responses that stay unread, and that the
// caller gets all.
func TestSlowStreamReader(t *testing.T) {
	const events, dataBytes = 300, 4 << 10
	synctest.Test(t, func(t *testing.T) {
		wrote := make(chan time.Duration, 1)
		target := func(w http.ResponseWriter, _ *http.Request) {
			start := time.Now()
			w.Header().Set("Signed", "t")
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range events {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", dataBytes))
			}
			wrote <- time.Since(start)
		}
		r := newLimitedFixture(t, catalog.Stream, 1000, func(s *settings.Gateway) { s.StreamBufferKB = 2000 }, target)
		defer r.close()
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, "12345", "Content-Length: 5")
		time.Sleep(8 * time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if got := strings.Count(string(body), "data:"); got != events || err != nil {
			t.Errorf("got %d events and %v, want %d", got, err, events)
		}
		if took := <-wrote; took > time.Second {
			t.Errorf("the target waited %v for the caller", took)
		}
		time.Sleep(time.Second)
		if used := r.host.streamMemory.Used(); used != 0 {
			t.Errorf("%d bytes are still counted", used)
		}
	})
}

// TestStreamBuffer checks that no more than the bound is held for a caller that does not
// read, whose target then waits, and that such a caller is disconnected.
func TestStreamBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{})
		target := func(w http.ResponseWriter, req *http.Request) {
			defer close(ended)
			w.Header().Set("Signed", "t")
			for i := 0; req.Context().Err() == nil; i++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4<<10)); err != nil {
					return
				}
			}
		}
		r := newLimitedFixture(t, catalog.Stream, 1000, func(s *settings.Gateway) { s.StreamBufferKB = 100 }, target)
		defer r.close()
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, "12345", "Content-Length: 5")
		time.Sleep(10 * time.Second)
		if used := r.host.streamMemory.Used(); used == 0 || used > 100_000 {
			t.Errorf("%d bytes are held", used)
		}
		<-ended
		time.Sleep(time.Second)
		if used := r.host.streamMemory.Used(); used != 0 {
			t.Errorf("%d bytes are still counted", used)
		}
	})
}

// TestSlowReaderKeepsItsTarget checks that a resumable stream is not sent to another target
// since the first one has to wait for a caller that pauses: its silence is the caller's.
func TestSlowReaderKeepsItsTarget(t *testing.T) {
	const events, dataBytes = 300, 4 << 10
	synctest.Test(t, func(t *testing.T) {
		target := func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Signed", "t")
			for i := range events {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", dataBytes)); err != nil {
					return
				}
			}
		}
		r := prepareFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable = true }), target, target)
		r.host.Settings.StreamBufferKB = 100
		r.start()
		defer r.close()
		conn := r.dial()
		defer conn.Close()
		r.begin(conn, "12345", "Content-Length: 5")
		time.Sleep(8 * time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if got := strings.Count(string(body), "data:"); got != events || err != nil || r.requestCount() != 1 {
			t.Errorf("got %d events and %v in %d sends, want %d in one", got, err, r.requestCount(), events)
		}
	})
}
