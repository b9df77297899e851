package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
)

// starvedListener returns connections whose reads report that their deadline has passed
// although bytes have arrived, once each starvedReads. The runtime does so if the process
// got no time between the arrival of the bytes and the deadline.
type starvedListener struct {
	net.Listener
	starvedReads atomic.Int32
}

func (l *starvedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{conn, l}, nil
}

type starvedConn struct {
	net.Conn
	listener *starvedListener
}

func (c *starvedConn) Read(b []byte) (int, error) {
	if c.listener.starvedReads.Add(-1) >= 0 {
		time.Sleep(headerTimeout)
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// TestRequestIsNotCut checks that the limits on idle connections and slow headers don't
// cut a request that the caller has sent, which it could not repeat without a doubt, and
// that they hold for a header that doesn't come.
func TestRequestIsNotCut(t *testing.T) {
	const head, end = "GET / HTTP/1.1\r\nHost: x\r\n", "\r\n"
	tests := []struct {
		name string
		// The caller waits for pause, sends first, waits for gap and sends second.
		pause, gap    time.Duration
		first, second string
		starvedReads  int32
		answered      bool
	}{
		{"connection opened in advance", headerTimeout + time.Second, 0, head, end, 0, true},
		{"no time for the process", 0, 0, head, end, 1, true},
		{"slow header", headerTimeout - time.Second, headerTimeout - time.Second, head, end, 0, true},
		{"too slow header", 0, headerTimeout + time.Second, head, end, 0, false},
		{"idle for too long", idleTimeout + time.Second, 0, head, end, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := serveCaller(t, test.starvedReads)
				time.Sleep(test.pause)
				io.WriteString(conn, test.first)
				time.Sleep(test.gap)
				io.WriteString(conn, test.second)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if got := err == nil && resp.StatusCode == http.StatusOK; got != test.answered {
					t.Errorf("answered: %v, want %v (%v)", got, test.answered, err)
				}
			})
		})
	}
}

// TestAnswersAreNotDelayed checks that the final attempt of a read doesn't apply to reads
// that net/http ends itself, as it does after each request.
func TestAnswersAreNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := serveCaller(t, 0)
		r := bufio.NewReader(conn)
		start := time.Now()
		for range 3 {
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
		}
		if took := time.Since(start); took >= finalAttemptTime {
			t.Errorf("3 requests took %v", took)
		}
	})
}

// serveCaller starts a server for callers and returns a connection to it.
func serveCaller(t *testing.T, starvedReads int32) net.Conn {
	m := &link.Memory{Delay: time.Millisecond}
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	l, err := m.Process(addr.Addr()).Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	starved := &starvedListener{Listener: l}
	starved.starvedReads.Store(starvedReads)
	s := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		fmt.Fprintln(w, "served")
	}))
	go s.Serve(&callerListener{starved, &clock.Service{}})
	conn, err := m.Process(netip.MustParseAddr("10.0.3.1")).Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		s.Close()
		time.Sleep(time.Second) // the server delays closing a connection
	})
	return conn
}
