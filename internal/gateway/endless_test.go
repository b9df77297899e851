package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// repeats returns a behaviour that sends start and then repeated without end, with
// a pause after each.
func repeats(start, repeated string, pause time.Duration) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "endless")
		io.WriteString(w, start)
		control := http.NewResponseController(w)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, repeated); err != nil || control.Flush() != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// firstThen returns a behaviour for several targets, of which the one that is
// reached first behaves like first and all others like rest.
func firstThen(first, rest behaviour) behaviour {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		b := rest
		once.Do(func() { b = first })
		b(w, r)
	}
}

// TestSignsOfLifeAreNoProgress checks that a stream goes on at another target when
// the first one sends bytes now and then but no further event.
func TestSignsOfLifeAreNoProgress(t *testing.T) {
	for name, repeated := range map[string]string{
		"comments":         ": alive\n\n",
		"empty events":     "\n",
		"part of an event": "x",
		"an old event":     "id: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				either := firstThen(repeats("id: 0\n\n", repeated, 400*time.Millisecond), events("second", -1))
				r := newFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable = true }), either, either)
				defer r.close()
				start := time.Now()
				got := r.post("/a/b", "Wait", "9000")
				if !strings.HasPrefix(got, "200 signed endless") || !strings.HasSuffix(got, `id: 1\n\nid: 2\n\nid: 3\n\n"`) || strings.Contains(got, "cut") {
					t.Error(got)
				}
				if took := time.Since(start); took > 2*minStallTimeout {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// TestSlowStream checks that a stream whose events come just within the allowed
// pause is not cut.
func TestSlowStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signed", "slow")
			for i := range 4 {
				time.Sleep(time.Second)
				fmt.Fprintf(w, "id: %d\n\n", i)
				http.NewResponseController(w).Flush()
			}
		}
		r := newFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable, r.EventPause = true, time.Second }), slow, slow)
		defer r.close()
		if diff := cmp.Diff(fmt.Sprintf("200 signed slow %q", wholeStream), r.post("/a/b", "Wait", "9000")); diff != "" || r.requestCount() != 1 {
			t.Errorf("%d sends, response (-want +got):\n%s", r.requestCount(), diff)
		}
	})
}

// TestEndlessResponses checks that no part of a response that exceeds its limit
// reaches the caller, and that a request that may be repeated is.
func TestEndlessResponses(t *testing.T) {
	block := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name  string
		kind  catalog.Kind
		want  string
		sends int
	}{
		{"unsafe", catalog.Unsafe, "502", 1},
		{"safe", catalog.Safe, `200 signed t "x"`, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				either := firstThen(repeats("", block, 0), respondsWith("x"))
				r := newFixture(t, route(c.kind, nil), either, either)
				defer r.close()
				if got := r.post("/a/b", "Wait", "9000"); got != c.want || r.requestCount() != c.sends {
					t.Errorf("got %.100s after %d sends, want %s after %d", got, r.requestCount(), c.want, c.sends)
				}
			})
		})
	}
}
