package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/command"
	"berylswitch.example/berylswitch/internal/memory"
)

// endless lists what a target may send without end: a fixed start, and then the
// same bytes until its caller closes the connection.
var endless = []struct {
	name, start, repeated string
	want                  error
}{
	{"line", "HTTP/1.1 200 OK\r\nX: ", "x", ErrHeadTooLarge},
	{"status line", "", "HTTP/1.1 200 ", ErrHeadTooLarge},
	{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n", ErrHeadTooLarge},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrHeadTooLarge},
	{"interim headers", "HTTP/1.1 103 Early Hints\r\n", "Link: <x>\r\n", ErrHeadTooLarge},
	{"foreign responses", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", ErrBroken},
	{"foreign body", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", ErrBroken},
	{"body without length", "HTTP/1.1 200 OK\r\nId: one\r\n\r\n", "x", ErrTooLarge},
	{"body in chunks", "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n", ErrTooLarge},
	{"body in one chunk", "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x", ErrTooLarge},
	{"chunk size", "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", "0", ErrBroken},
	{"body of great length", "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 99999999999\r\n\r\n", "x", ErrTooLarge},
	{"trailers", "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", ErrBroken},
}

// startEndless starts a target that answers each request with start and then
// repeated without end.
func startEndless(t *testing.T, start, repeated string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startSound starts a target that gives a small response to every request.
func startSound(t *testing.T) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "one")
		io.WriteString(w, "sound")
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// Limits of the tests that read bodies. The budget is what a host of 144 MB has.
const (
	testBodyLimit    = 16 << 20
	testMemoryBudget = 18 << 20
	smallestHost     = 144 << 20
)

// fetch sends a request and reads the body of its response.
func fetch(c *Client, addr netip.AddrPort, budget *memory.Budget, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := c.Do(ctx, addr, get("one"))
	if err != nil {
		return err
	}
	a := budget.NewAllowance()
	defer a.Release()
	_, err = resp.ReadAll(testBodyLimit, a)
	return err
}

// TestEndless checks that a response without end is an error, and long before the
// deadline of its request.
func TestEndless(t *testing.T) {
	for _, e := range endless {
		t.Run(e.name, func(t *testing.T) {
			addr := startEndless(t, e.start, e.repeated)
			const timeout = 30 * time.Second
			start := time.Now()
			err := fetch(newClient(t), addr, &memory.Budget{Bytes: testMemoryBudget}, timeout)
			if !errors.Is(err, e.want) || !errors.Is(err, ErrBroken) {
				t.Errorf("error %v, want %v", err, e.want)
			}
			if took := time.Since(start); took > timeout/2 {
				t.Errorf("took %v", took)
			}
		})
	}
}

// TestEndlessMemory checks that a process of the smallest host survives 50 targets
// that send without end at the same time, and that small responses of sound targets
// arrive meanwhile. A connection that isn't accepted in time proves nothing either
// way.
func TestEndlessMemory(t *testing.T) {
	const targets = 50
	command.TuneCollector(smallestHost * 7 / 10)
	c := newClient(t)
	budget := &memory.Budget{Bytes: testMemoryBudget}
	sound := startSound(t)
	var addrs []netip.AddrPort
	for i := range targets {
		e := endless[i%len(endless)]
		addrs = append(addrs, startEndless(t, e.start, e.repeated))
	}
	stop := make(chan struct{})
	peak := watchMemory(stop)
	end := time.Now().Add(2 * time.Second)
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			for time.Now().Before(end) {
				if err := fetch(c, addr, budget, 10*time.Second); !errors.Is(err, ErrBroken) && !errors.Is(err, ErrNotSent) {
					t.Errorf("error %v, want %v", err, ErrBroken)
					return
				}
			}
		})
	}
	wg.Go(func() {
		for time.Now().Before(end) {
			if err := fetch(c, sound, budget, 10*time.Second); err != nil && !errors.Is(err, ErrNotSent) {
				t.Errorf("sound target: %v", err)
				return
			}
		}
	})
	wg.Wait()
	close(stop)
	if got := <-peak; got > smallestHost {
		t.Errorf("the process grew to %d MB", got>>20)
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes of the budget were not released", used)
	}
}

// watchMemory sends the most memory that the process held until stop is closed, in
// bytes.
func watchMemory(stop chan struct{}) <-chan uint64 {
	peak := make(chan uint64, 1)
	go func() {
		most := uint64(0)
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			most = max(most, m.Sys-m.HeapReleased)
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return peak
}

// TestReadAll checks that a body is returned whole or not at all, at the limits of
// its size and of the allowance.
func TestReadAll(t *testing.T) {
	for _, c := range []struct {
		length, limit, budget int64
		want                  error
	}{
		{0, 100, 0, nil},
		{100, 100, 0, nil},
		{101, 100, 0, ErrTooLarge},
		{UnaccountedBytes - 1, 1 << 20, 0, nil},
		{UnaccountedBytes, 1 << 20, 0, nil},
		{UnaccountedBytes, UnaccountedBytes, 0, nil},
		{UnaccountedBytes + 1, UnaccountedBytes, 0, ErrTooLarge},
		{UnaccountedBytes + 1, 1 << 20, 0, ErrTooLarge},
		{UnaccountedBytes + 1, 1 << 20, UnaccountedBytes, nil},
		{1 << 20, 1 << 20, 2 << 20, nil},
		{1 << 20, 1 << 20, 1 << 19, ErrTooLarge},
		{1<<20 + 1, 1 << 20, 8 << 20, ErrTooLarge},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			body := bytes.Repeat([]byte("x"), int(c.length))
			budget := &memory.Budget{Bytes: c.budget}
			a := budget.NewAllowance()
			got, err := (&Response{Body: io.NopCloser(bytes.NewReader(body)), Length: -1}).ReadAll(c.limit, a)
			if !errors.Is(err, c.want) || err == nil && !bytes.Equal(got, body) {
				t.Errorf("%d bytes, error %v, want %v", len(got), err, c.want)
			}
			a.Release()
			if used := budget.Used(); used != 0 {
				t.Errorf("%d bytes were not released", used)
			}
		})
	}
}

// TestLargestUnaccounted checks that the largest body that takes nothing from a budget
// holds nothing, with and without an announced length. It once held memory, and a response
// of this size is not ended when others need it.
func TestLargestUnaccounted(t *testing.T) {
	for _, length := range []int64{-1, UnaccountedBytes} {
		budget := &memory.Budget{Bytes: 1 << 20}
		body := io.NopCloser(bytes.NewReader(make([]byte, UnaccountedBytes)))
		c, err := (&Response{Body: body, Length: length}).ReadContent(1<<20, budget.NewAllowance())
		if err != nil || c.Len() != UnaccountedBytes || budget.Used() != 0 {
			t.Errorf("announced length %d: error %v, %d bytes are counted", length, err, budget.Used())
		}
	}
}

// FuzzResponse reads arbitrary bytes as a response. Whatever a target sends, its
// head takes no more than its limit from the connection, only a response that
// belongs to the request is returned, and its body keeps to its limit.
func FuzzResponse(f *testing.F) {
	for _, e := range endless {
		f.Add([]byte(e.start + strings.Repeat(e.repeated, 3)))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		source := bytes.NewReader(sent)
		conn := &connection{}
		conn.reader, conn.limiter = newReader(source)
		r := get("one")
		req, err := newRequest(r)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := readResponse(conn, req, r.Matches)
		if err != nil {
			return
		}
		if resp.Header.Get("Id") != "one" || resp.StatusCode < 200 {
			t.Fatalf("took a response with status %d and ID %q", resp.StatusCode, resp.Header.Get("Id"))
		}
		const limit = 1 << 10
		body, err := (&Response{Body: resp.Body, Length: resp.ContentLength}).ReadAll(limit, nil)
		if err == nil && (len(body) > limit || resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength) {
			t.Fatalf("body of %d bytes, declared %d", len(body), resp.ContentLength)
		}
	})
}
