package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// respondUnframed responds with neither a length nor chunks; the body ends with the
// connection, which is reset if reset is set. A resumed stream gets the rest.
func (r *fixture) respondUnframed(w http.ResponseWriter, req *http.Request, body string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.t.Error(err)
		return
	}
	defer conn.Close()
	if after, err := strconv.Atoi(req.Header.Get("After")); err == nil {
		body = wholeStream[len("id: 0\n\n")*(after+1):]
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: t\r\n\r\n%s", req.Header.Get("Id"), body)
	if reset {
		// The bytes arrive before the reset.
		time.Sleep(10 * time.Millisecond)
		r.network.Reset(hostAddr, conn.LocalAddr().(*net.TCPAddr).AddrPort().Addr())
	}
}

// TestUnframedResponses expects a response without a length and without chunks to be
// complete where its connection ends, unless that is within an event or by a reset.
func TestUnframedResponses(t *testing.T) {
	const cutStream = "id: 0\n\nid: 1\n\nid: 2"
	for _, c := range []struct {
		name    string
		kind    catalog.Kind
		resumes bool
		body    string
		reset   bool
		want    string
		reached int
	}{
		{"plain", catalog.Safe, false, "x", false, `200 signed t "x"`, 1},
		{"plain, empty", catalog.Safe, false, "", false, `200 signed t ""`, 1},
		{"plain, reset", catalog.Safe, false, "x", true, "502", 2},
		{"unsafe, reset", catalog.Unsafe, false, "x", true, "502", 1},
		{"stream", catalog.Stream, false, wholeStream, false, fmt.Sprintf("200 signed t %q", wholeStream), 1},
		{"stream cut within an event", catalog.Stream, false, cutStream, false, fmt.Sprintf("200 signed t cut after %q", "id: 0\n\nid: 1\n\n"), 1},
		{"stream cut within an event, resumed", catalog.Stream, true, cutStream, false, fmt.Sprintf("200 signed t %q", wholeStream), 2},
		{"stream reset between events", catalog.Stream, false, "id: 0\n\nid: 1\n\n", true, fmt.Sprintf("200 signed t cut after %q", "id: 0\n\nid: 1\n\n"), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r *fixture
				b := func(w http.ResponseWriter, req *http.Request) { r.respondUnframed(w, req, c.body, c.reset) }
				r = newFixture(t, route(c.kind, func(r *catalog.Route) { r.Resumable = c.resumes }), b, b)
				defer r.close()
				got := r.post("/a/b", "Wait", "5000")
				if got != c.want || r.requestCount() != c.reached {
					t.Errorf("got %s with sends %v, want %s with %d sends", got, r.received, c.want, c.reached)
				}
			})
		})
	}
}
