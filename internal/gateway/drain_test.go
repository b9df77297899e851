package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// TestNewLimitsAfterAccept changes the limits of callers' connections while a
// connection has sent nothing or part of a request, and has sent one before or not.
// The request must be answered under the limits that the connection began with.
func TestNewLimitsAfterAccept(t *testing.T) {
	const head, rest = "POST /a/b HTTP/1.1\r\nHost: h.example\r\n", "Id: r1\r\nContent-Length: 0\r\n\r\n"
	for _, sent := range []string{"", head} {
		synctest.Test(t, func(t *testing.T) {
			r := newFixture(t, route(catalog.Unsafe, nil), respondsWith("x"))
			defer r.close()
			conn, err := r.network.Process(netip.MustParseAddr("10.0.0.3")).Dial(context.Background(), callerAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, sent)
			time.Sleep(100 * time.Millisecond)
			r.host.callerServer.setLimits(catalog.Limits{HeaderBytes: 8 << 10})
			time.Sleep(100 * time.Millisecond)
			io.WriteString(conn, strings.TrimPrefix(head+rest, sent))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%d bytes sent before the change: response %v, error %v", len(sent), resp, err)
			}
		})
	}
}

// TestStopAfterAccept stops a host and sends requests on connections that were
// accepted just before the host closed its listener. The request arrives after
// that and must be answered.
func TestStopAfterAccept(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			r := newFixture(t, route(catalog.Unsafe, nil), respondsWith("x"))
			stopped := make(chan struct{})
			go func() {
				r.close()
				close(stopped)
			}()
			time.Sleep(drainAcceptTime - 10*time.Millisecond)
			conn, err := r.network.Process(netip.MustParseAddr("10.0.0.3")).Dial(context.Background(), callerAddr)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(10*time.Millisecond + delay)
			fmt.Fprintf(conn, "POST /a/b HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("request sent %v after the listener closed: response %v, error %v", delay, resp, err)
			}
			<-stopped
		})
	}
}
