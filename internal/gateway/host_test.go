package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
)

// TestSends checks the caller's response and the number of sends to targets for
// each kind of route and each behaviour of the targets.
func TestSends(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    catalog.Kind
		targets []behaviour
		want    string
		reached int
	}{
		{"safe", catalog.Safe, []behaviour{respondsWith("x")}, `200 signed t "x"`, 1},
		{"safe, first broken", catalog.Safe, []behaviour{breaks, breaks}, "502", 2},
		{"safe, failures passed on", catalog.Safe, []behaviour{fails, fails}, `500 signed t ""`, 2},
		{"safe, unsigned", catalog.Safe, []behaviour{unsigned}, "502", 1},
		{"unsafe", catalog.Unsafe, []behaviour{respondsWith("x")}, `200 signed t "x"`, 1},
		{"unsafe, broken", catalog.Unsafe, []behaviour{breaks, breaks}, "502", 1},
		{"unsafe, failed", catalog.Unsafe, []behaviour{fails, fails}, `500 signed t ""`, 1},
		{"unsafe, rejected everywhere", catalog.Unsafe, []behaviour{rejects, rejects}, "503", 2},
		{"unsafe, no target", catalog.Unsafe, nil, "503", 0},
		{"unsafe, unsigned", catalog.Unsafe, []behaviour{unsigned, unsigned}, "502", 1},
		{"unsafe, hangs", catalog.Unsafe, []behaviour{hangs}, "504", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, route(c.kind, nil), c.targets...)
				defer r.close()
				got := r.post("/a/b", "Wait", "3000")
				if got != c.want || r.requestCount() != c.reached {
					t.Errorf("got %s with sends %v, want %s with %d sends", got, r.received, c.want, c.reached)
				}
			})
		})
	}
}

// TestUnreachableTargets expects a send to a target that refuses connections to take
// nothing from the budget of repeats, which limits what arrives at targets. Requests
// once failed after their stages had run because the first target was down.
func TestUnreachableTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, route(catalog.Safe, nil), respondsWith("x"), respondsWith("x"), respondsWith("x"))
		defer r.close()
		r.host.Repeats.SetLimit(0, 0)
		for _, down := range []int{0, 1} {
			r.network.Kill(targetAddr(down).Addr())
		}
		for range 10 {
			if got := r.post("/a/b", "Wait", "3000"); got != `200 signed t "x"` {
				t.Errorf("got %s", got)
			}
		}
	})
}

// TestTimeouts checks that a request ends at the timeout of its route, which is
// shorter than the caller's.
func TestTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, route(catalog.Unsafe, func(r *catalog.Route) { r.Timeout = 700 * time.Millisecond }), hangs)
		defer r.close()
		start := time.Now()
		if got := r.post("/a/b", "Wait", "3000"); got != "504" {
			t.Error(got)
		}
		if took := time.Since(start); took > 750*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

// TestCallerCancels checks that the request to the target is cancelled when the
// caller disconnects.
func TestCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left := make(chan time.Time, 1)
		r := newFixture(t, route(catalog.Safe, nil), func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			left <- time.Now()
		})
		defer r.close()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		if got := r.postContext(ctx, "/a/b", "Wait", "3000"); got != "no response" {
			t.Error(got)
		}
		if took := (<-left).Sub(start); took > 400*time.Millisecond {
			t.Errorf("request to the target cancelled after %v", took)
		}
	})
}

// events sends the numbered events that the caller does not have yet. It breaks
// the connection within the event numbered cut.
func events(name string, cut int) behaviour {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", name)
		w.Header().Set("Content-Type", "text/event-stream")
		after := -1
		if v := r.Header.Get("After"); v != "" {
			after, _ = strconv.Atoi(v)
		}
		for i := after + 1; i < 4; i++ {
			if i == cut {
				io.WriteString(w, "id: 9")
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\n\n", i)
			http.NewResponseController(w).Flush()
		}
	}
}

const wholeStream = "id: 0\n\nid: 1\n\nid: 2\n\nid: 3\n\n"

// TestStreams checks that a resumable stream continues at another target under
// the header of the first one, and that any other stream ends visibly truncated.
func TestStreams(t *testing.T) {
	resumable := func(r *catalog.Route) { r.Resumable = true }
	for _, c := range []struct {
		name    string
		change  func(*catalog.Route)
		targets []behaviour
		want    string
		reached int
	}{
		{"whole", nil, []behaviour{events("t", -1)}, fmt.Sprintf("200 signed t %q", wholeStream), 1},
		{"resumed", resumable, []behaviour{events("t", 2), events("t", 2)}, fmt.Sprintf("200 signed t cut after %q", "id: 0\n\nid: 1\n\n"), 2},
		{"resumable, broken before the header", resumable, []behaviour{breaks, breaks}, "502", 2},
		{"not resumable", nil, []behaviour{events("t", 2), events("t", -1)}, fmt.Sprintf("200 signed t cut after %q", "id: 0\n\nid: 1\n\n"), 1},
		{"not resumable, broken before the header", nil, []behaviour{breaks, breaks}, "502", 1},
		{"rejected", nil, []behaviour{rejects, rejects}, "503", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, route(catalog.Stream, c.change), c.targets...)
				defer r.close()
				got := r.post("/a/b", "Wait", "5000")
				if got != c.want || r.requestCount() != c.reached {
					t.Errorf("got %s with sends %v, want %s with %d sends", got, r.received, c.want, c.reached)
				}
			})
		})
	}
}

// TestResume checks that the caller gets one complete response if the first of two
// targets breaks the stream or stops sending events.
func TestResume(t *testing.T) {
	for _, broken := range []behaviour{events("first", 2), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "first")
		io.WriteString(w, "id: 0\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			first := true
			either := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				b := events("second", -1)
				if first {
					b = broken
				}
				first = false
				mu.Unlock()
				b(w, r)
			}
			r := newFixture(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable = true }), either, either)
			defer r.close()
			if diff := cmp.Diff(fmt.Sprintf("200 signed first %q", wholeStream), r.post("/a/b", "Wait", "9000")); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStagesOfRequest checks that the target gets all results of the last stages
// as inputs, and that every result is freed.
func TestStagesOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inputs string
		r := newFixture(t, route(catalog.Stream, func(r *catalog.Route) {
			r.Aim = 5 * time.Second
			r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 10}, {Service: "p", After: []int{0}, ResultBytes: 10}, {Service: "p", ResultBytes: 10}}
		}), func(w http.ResponseWriter, req *http.Request) {
			inputs = req.Header.Get("Inputs")
			events("t", -1)(w, req)
		})
		defer r.close()
		if got := r.post("/a/b", "Wait", "5000", "Pieces", "2,1,1"); got != fmt.Sprintf("200 signed t %q", wholeStream) {
			t.Error(got)
		}
		if diff := cmp.Diff("h1.0,h2.0", inputs); diff != "" {
			t.Errorf("inputs (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		r.pool.mu.Lock()
		defer r.pool.mu.Unlock()
		if len(r.pool.calls) != 4 || len(r.pool.freed) != 4 {
			t.Errorf("calls %v, freed %v", r.pool.calls, r.pool.freed)
		}
	})
}

// TestRefusals checks the host's own responses to requests that it refuses.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, route(catalog.Safe, nil), respondsWith("x"))
		defer r.close()
		got := []string{r.post("/b/"), r.post("/a/b", "Id", "")}
		if diff := cmp.Diff([]string{"404", "400"}, got); diff != "" {
			t.Errorf("responses (-want +got):\n%s", diff)
		}
		if r.requestCount() != 0 {
			t.Errorf("reached targets: %v", r.received)
		}
	})
}

// TestShutdown stops a host with one request in flight and one that never ends.
// The first must be served completely, and the second must get a response before
// the process ends.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Id") == "stuck" {
				<-r.Context().Done()
				return
			}
			time.Sleep(2 * time.Second)
			respondsWith("x")(w, r)
		}
		r := newFixture(t, route(catalog.Unsafe, nil), slow)
		got := make([]string, 2)
		var wg sync.WaitGroup
		wg.Go(func() { got[0] = r.post("/a/b", "Wait", "20000") })
		wg.Go(func() { got[1] = r.post("/a/b", "Wait", "20000", "Id", "stuck") })
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		r.close()
		if took := time.Since(start); took > 8*time.Second {
			t.Errorf("shutdown took %v", took)
		}
		wg.Wait()
		if diff := cmp.Diff([]string{`200 signed t "x"`, "502"}, got); diff != "" {
			t.Errorf("responses (-want +got):\n%s", diff)
		}
	})
}

// TestStartWithoutStore starts a host while the store is down. The host must
// refuse requests with a retry delay and hold no services for other hosts, join
// once it has read the configuration, and stop in time if it is stopped before.
func TestStartWithoutStore(t *testing.T) {
	for _, back := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := prepareFixture(t, route(catalog.Safe, nil), respondsWith("x"))
			r.feed.down.Store(true)
			r.start()
			if got := r.post("/a/b", "Wait", "3000"); got != "503" || r.host.joined.Load() || r.host.ready() {
				t.Errorf("got %s, joined %v, ready %v", got, r.host.joined.Load(), r.host.ready())
			}
			if back {
				r.feed.down.Store(false)
				time.Sleep(time.Second)
				if got := r.post("/a/b", "Wait", "3000"); got != `200 signed t "x"` || !r.host.joined.Load() {
					t.Errorf("got %s, joined %v", got, r.host.joined.Load())
				}
			}
			start := time.Now()
			r.close()
			if took := time.Since(start); took > 8*time.Second {
				t.Errorf("shutdown took %v", took)
			}
		})
	}
}

// TestReload checks that a shorter grace period applies to a running host.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, route(catalog.Unsafe, nil), hangs)
		s := *r.host.Settings
		s.GracePeriod = declaration.Duration(3 * time.Second)
		r.host.Reload(&s)
		done := make(chan string, 1)
		go func() { done <- r.post("/a/b", "Wait", "20000") }()
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		r.close()
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("shutdown took %v", took)
		}
		if got := <-done; got != "502" {
			t.Error(got)
		}
	})
}
