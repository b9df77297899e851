package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/cockroachdb/datadriven"
)

// eventPause is the time between two events of the streams of TestRequestsWhileDraining.
const eventPause = 250 * time.Millisecond

// drainRequest is a request that reaches a host at a time after the signal to stop.
type drainRequest struct {
	kind catalog.Kind
	at   time.Duration
	// takes is how long the target works on it; wait, unless zero, is how long its
	// caller waits.
	takes, wait time.Duration
}

// respond is the behaviour of the target.
func (d *drainRequest) respond(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Signed", "t")
	if d.kind != catalog.Stream {
		sleepContext(req.Context(), d.takes)
		io.WriteString(w, "x")
		return
	}
	for i := range int(d.takes / eventPause) {
		fmt.Fprintf(w, "id: %d\n\n", i)
		http.NewResponseController(w).Flush()
		sleepContext(req.Context(), eventPause)
	}
}

// sleepContext waits for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// dial opens a connection at the latest when the host still accepts some, and returns it
// when the request is due.
func (d *drainRequest) dial(t *testing.T, r *fixture, signal time.Time) net.Conn {
	opened := min(d.at, drainAcceptTime-20*time.Millisecond)
	time.Sleep(time.Until(signal.Add(opened)))
	conn, err := r.network.Process(netip.MustParseAddr("10.0.0.3")).Dial(context.Background(), callerAddr)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(signal.Add(d.at)))
	return conn
}

// outcome sends the request and describes what its caller gets, and when.
func (d *drainRequest) outcome(t *testing.T) string {
	r := newFixture(t, route(d.kind, nil), d.respond)
	signal, stopped := time.Now(), make(chan struct{})
	go func() {
		r.close()
		close(stopped)
	}()
	conn := d.dial(t, r, signal)
	defer func() {
		conn.Close()
		<-stopped
	}()
	fmt.Fprintf(conn, "POST /a/b HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nContent-Length: 0\r\n")
	if d.wait > 0 {
		fmt.Fprintf(conn, "Wait: %d\r\n", d.wait.Milliseconds())
	}
	io.WriteString(conn, "\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no response"
	}
	end := "whole"
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		end = "cut"
	}
	if resp.StatusCode != http.StatusOK {
		end = "after " + time.Since(signal.Add(d.at)).Round(100*time.Millisecond).String()
	}
	return fmt.Sprintf("%d %s, sends %d, close %v", resp.StatusCode, end, r.requestCount(), resp.Close)
}

// TestRequestsWhileDraining sends requests to a host that has 8 s from the signal until it
// is killed, on connections that it has accepted. It guards against taking late what the
// process may not live to answer: a stream would be cut, and a single request may have run.
// Each line is a kind, the time after the signal, how long the target takes, and how long
// the caller waits, if not for ever.
func TestRequestsWhileDraining(t *testing.T) {
	kinds := map[string]catalog.Kind{"safe": catalog.Safe, "unsafe": catalog.Unsafe, "stream": catalog.Stream}
	datadriven.RunTest(t, "testdata/draining", func(t *testing.T, d *datadriven.TestData) string {
		request := &drainRequest{kind: kinds[d.Cmd], at: scanTime(t, d, "at"), takes: scanTime(t, d, "takes")}
		if d.HasArg("wait") {
			request.wait = scanTime(t, d, "wait")
		}
		var out string
		synctest.Test(t, func(t *testing.T) { out = request.outcome(t) })
		return out + "\n"
	})
}

// scanTime returns the argument with that name.
func scanTime(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	var text string
	d.ScanArgs(t, name, &text)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
