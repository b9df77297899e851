package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// respondStatus responds with a status line that HTTP may not have.
func (r *fixture) respondStatus(w http.ResponseWriter, req *http.Request, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.t.Error(err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nId: %s\r\nSigned: t\r\nContent-Length: 1\r\n\r\nx", status, req.Header.Get("Id"))
}

// TestInvalidStatus has targets respond with statuses that HTTP doesn't have. It guards
// against passing such a response on as an answer: callers must be told that the
// request may have run without one, and what may be repeated is sent to another target.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for kind, sends := range map[catalog.Kind]int{catalog.Safe: 2, catalog.Unsafe: 1, catalog.Stream: 1} {
			t.Run(fmt.Sprint(status, " ", kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var r *fixture
					b := func(w http.ResponseWriter, req *http.Request) { r.respondStatus(w, req, status) }
					r = newFixture(t, route(kind, nil), b, b)
					defer r.close()
					got := fmt.Sprintf("%s after %d sends", r.post("/a/b", "Wait", "5000"), r.requestCount())
					if diff := cmp.Diff(fmt.Sprintf("502 after %d sends", sends), got); diff != "" {
						t.Errorf("response (-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}
