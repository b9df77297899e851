package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// testFormat is a plain form of the headers.
type testFormat struct{}

func (testFormat) ReadAsk(h http.Header) (Ask, error) {
	a := Ask{ID: h.Get("Id"), Key: h.Get("Key")}
	if a.ID == "" {
		return a, errors.New("no Id")
	}
	if ms, err := strconv.Atoi(h.Get("Wait")); err == nil {
		a.Wait = time.Duration(ms) * time.Millisecond
	}
	if h.Get("Pieces") != "" {
		for _, f := range strings.Split(h.Get("Pieces"), ",") {
			n, err := strconv.Atoi(f)
			if err != nil {
				return a, err
			}
			a.Pieces = append(a.Pieces, n)
		}
	}
	return a, nil
}

func (testFormat) Forward(h http.Header, s Send) http.Header {
	out := http.Header{"Id": h["Id"], "Target": {s.Target}, "Workspace": {s.Workspace}, "User-Agent": {""}, "Inputs": {strings.Join(s.Inputs, ",")}}
	out.Set("Left", strconv.FormatInt(s.Left.Milliseconds(), 10))
	if s.Resumes {
		out.Set("After", strconv.FormatInt(s.ResumeAfter, 10))
	}
	return out
}

func (testFormat) ReadReply(_ int, h http.Header) Reply {
	return Reply{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", InputsGone: h.Get("Not-Run") == "inputs"}
}

func (testFormat) Backward(h http.Header) http.Header { return http.Header{"Signed": h["Signed"]} }

func (testFormat) Refusal(_ string, after time.Duration) http.Header {
	return http.Header{"Retry": {after.String()}}
}

func (testFormat) ReadyPath() string { return "/ready" }

// testFeed serves one configuration and its targets.
type testFeed struct {
	table   *catalog.Table
	targets []catalog.TargetChange
	down    atomic.Bool
}

var errDown = errors.New("down")

func (f *testFeed) ReadTable(ctx context.Context, from catalog.Offset, wait time.Duration) (catalog.TableNews, error) {
	if f.down.Load() {
		return catalog.TableNews{}, errDown
	}
	if from == catalog.Start {
		return catalog.TableNews{Table: f.table, Next: 1}, nil
	}
	return catalog.TableNews{Next: 1}, sleep(ctx, wait)
}

func (f *testFeed) ReadTargets(ctx context.Context, from catalog.Offset, wait time.Duration) (catalog.TargetNews, error) {
	if from == catalog.Start {
		return catalog.TargetNews{Whole: true, Changes: f.targets, Next: 1}, nil
	}
	return catalog.TargetNews{Next: 1}, sleep(ctx, wait)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testPool makes results at once.
type testPool struct {
	mu    sync.Mutex
	calls []string
	freed []string
}

func (p *testPool) Call(ctx context.Context, _ *catalog.Target, pieces []stage.Piece) ([]stage.PieceResult, error) {
	if err := sleep(ctx, 100*time.Millisecond); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []stage.PieceResult
	for _, piece := range pieces {
		p.calls = append(p.calls, fmt.Sprintf("stage %d piece %d of %v", piece.Stage, piece.Number, piece.Inputs))
		out = append(out, stage.PieceResult{Handle: fmt.Sprintf("h%d.%d", piece.Stage, piece.Number)})
	}
	return out, nil
}

func (p *testPool) Free(_ context.Context, _ netip.AddrPort, handles []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed = append(p.freed, handles...)
	return nil
}

type noDirectory struct{}

func (noDirectory) Hosts(context.Context) ([]netip.AddrPort, error) { return nil, nil }

// behaviour is what a test target does with a request.
type behaviour func(w http.ResponseWriter, r *http.Request)

// rig is one host before test targets in virtual time.
type rig struct {
	t       *testing.T
	network *link.Memory
	host    *Host
	feed    *testFeed
	pool    *testPool
	client  *http.Client
	stop    context.CancelFunc
	done    chan error

	mu   sync.Mutex
	runs []string // what reached targets
}

var (
	hostAddr   = netip.MustParseAddr("10.0.0.1")
	callerAddr = netip.AddrPortFrom(hostAddr, 80)
)

func targetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 80)
}

// newRig starts a host before one target of service "s" for each behaviour, and
// a stage pool "p" of one target.
func newRig(t *testing.T, routes []*catalog.Route, targets ...behaviour) *rig {
	t.Helper()
	r := prepareRig(t, routes, targets...)
	r.start()
	return r
}

// prepareRig is newRig without the start of the host.
func prepareRig(t *testing.T, routes []*catalog.Route, targets ...behaviour) *rig {
	t.Helper()
	r := &rig{t: t, network: &link.Memory{Delay: 500 * time.Microsecond}, pool: &testPool{}, done: make(chan error, 1)}
	feed := &testFeed{table: &catalog.Table{Version: 1, Routes: routes, Services: map[string]*catalog.Service{
		"s": {Name: "s"},
		"p": {Name: "p", Pool: &catalog.Pool{Slots: 1, Batch: 8, CallTime: 100 * time.Millisecond, RoomBytes: 1 << 20, ResultLife: time.Minute}},
	}}}
	for i, b := range targets {
		r.serve(i, b)
		id := fmt.Sprintf("t%d", i)
		feed.targets = append(feed.targets, catalog.TargetChange{ID: id, Target: &catalog.Target{ID: id, Service: "s", Addr: targetAddr(i), Slots: 8}})
	}
	feed.targets = append(feed.targets, catalog.TargetChange{ID: "p0", Target: &catalog.Target{ID: "p0", Service: "p", Addr: targetAddr(99), Slots: 1}})
	n, c := r.network.Process(hostAddr), &clock.Service{}
	u := &upstream.Client{Net: n, Clock: c}
	s := &settings.Gateway{
		Name: "h", Domain: "d", CallerAddr: callerAddr, ReadyAddr: netip.AddrPortFrom(hostAddr, 81), PeerAddr: netip.AddrPortFrom(hostAddr, 82),
		MetricsPort: 83, ApplyTime: declaration.Duration(2 * time.Second), SettleTime: declaration.Duration(3 * time.Second), CPUShare: 1, CPUSpeed: 1, LinkMbps: 1000, MemoryMB: 100, GracePeriod: declaration.Duration(8 * time.Second), RepeatRatio: 0.2, RepeatSlack: 50,
		RepeatWindow: declaration.Duration(10 * time.Second),
	}
	h, err := New(s, n, c, zap.NewNop(), u, testFormat{}, feed, r.pool, noDirectory{})
	if err != nil {
		t.Fatal(err)
	}
	r.host, r.feed = h, feed
	r.client = &http.Client{Transport: link.Transport(r.network.Process(netip.MustParseAddr("10.0.0.2")))}
	return r
}

// start runs the host.
func (r *rig) start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.host.Run(ctx) }()
	time.Sleep(time.Second)
}

// close ends the host and waits for it.
func (r *rig) close() {
	r.client.CloseIdleConnections()
	r.stop()
	if err := <-r.done; err != nil {
		r.t.Error(err)
	}
}

func (r *rig) serve(i int, b behaviour) {
	l, err := r.network.Process(targetAddr(i).Addr()).Listen(targetAddr(i))
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.runs = append(r.runs, fmt.Sprintf("t%d %s", i, req.Header.Get("Id")))
		r.mu.Unlock()
		io.Copy(io.Discard, req.Body)
		w.Header().Set("Id", req.Header.Get("Id"))
		b(w, req)
	})}
	go s.Serve(l)
	r.t.Cleanup(func() { s.Close() })
}

// reached is the number of requests that reached targets.
func (r *rig) reached() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// ask sends a request and describes its answer.
func (r *rig) ask(path string, header ...string) string {
	return r.askWith(context.Background(), path, header...)
}

func (r *rig) askWith(ctx context.Context, path string, header ...string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callerAddr.String()+path, strings.NewReader("body"))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	signed := ""
	if s := resp.Header.Get("Signed"); s != "" {
		signed = " signed " + s
	}
	if err != nil {
		return fmt.Sprintf("%d%s cut after %q", resp.StatusCode, signed, body)
	}
	if signed == "" {
		return strconv.Itoa(resp.StatusCode)
	}
	return fmt.Sprintf("%d%s %q", resp.StatusCode, signed, body)
}

func route(kind catalog.Kind, change func(*catalog.Route)) []*catalog.Route {
	r := &catalog.Route{Name: "r", Host: "h.example", Prefix: "/a/", Kind: kind, MaxTargets: 2, Aim: time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
	if change != nil {
		change(r)
	}
	return []*catalog.Route{r}
}

// Behaviours of test targets.
func answers(body string) behaviour {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "t")
		io.WriteString(w, body)
	}
}

func fails(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Signed", "t")
	w.WriteHeader(http.StatusInternalServerError)
}

func rejects(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func unsigned(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") }

func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestSends checks what a caller gets and how often its request reaches targets.
func TestSends(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    catalog.Kind
		targets []behaviour
		want    string
		reached int
	}{
		{"safe", catalog.Safe, []behaviour{answers("x")}, `200 signed t "x"`, 1},
		{"safe, first broken", catalog.Safe, []behaviour{breaks, breaks}, "502", 2},
		{"safe, failures passed on", catalog.Safe, []behaviour{fails, fails}, `500 signed t ""`, 2},
		{"safe, unsigned", catalog.Safe, []behaviour{unsigned}, "502", 1},
		{"unsafe", catalog.Unsafe, []behaviour{answers("x")}, `200 signed t "x"`, 1},
		{"unsafe, broken", catalog.Unsafe, []behaviour{breaks, breaks}, "502", 1},
		{"unsafe, failed", catalog.Unsafe, []behaviour{fails, fails}, `500 signed t ""`, 1},
		{"unsafe, rejected everywhere", catalog.Unsafe, []behaviour{rejects, rejects}, "503", 2},
		{"unsafe, no target", catalog.Unsafe, nil, "503", 0},
		{"unsafe, unsigned", catalog.Unsafe, []behaviour{unsigned, unsigned}, "502", 1},
		{"unsafe, hangs", catalog.Unsafe, []behaviour{hangs}, "504", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, route(c.kind, nil), c.targets...)
				defer r.close()
				got := r.ask("/a/b", "Wait", "3000")
				if got != c.want || r.reached() != c.reached {
					t.Errorf("got %s after %v, want %s after %d", got, r.runs, c.want, c.reached)
				}
			})
		})
	}
}

// TestTimeouts expects a final answer at the route's own limit.
func TestTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, route(catalog.Unsafe, func(r *catalog.Route) { r.Timeout = 700 * time.Millisecond }), hangs)
		defer r.close()
		start := time.Now()
		if got := r.ask("/a/b", "Wait", "3000"); got != "504" {
			t.Error(got)
		}
		if took := time.Since(start); took > 750*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

// TestCallerLeaves expects a target to be told when the caller has left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left := make(chan time.Time, 1)
		r := newRig(t, route(catalog.Safe, nil), func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			left <- time.Now()
		})
		defer r.close()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		if got := r.askWith(ctx, "/a/b", "Wait", "3000"); got != "no answer" {
			t.Error(got)
		}
		if took := (<-left).Sub(start); took > 400*time.Millisecond {
			t.Errorf("the target was told after %v", took)
		}
	})
}

// events answers with numbered events after what the caller has, and breaks
// before the one numbered cut.
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

// TestStreams expects a resumable stream to go on at another target under the
// first one's head, and any other to end visibly cut.
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
		{"resumed after a stop between heads", resumable, []behaviour{breaks, breaks}, "502", 2},
		{"not resumable", nil, []behaviour{events("t", 2), events("t", -1)}, fmt.Sprintf("200 signed t cut after %q", "id: 0\n\nid: 1\n\n"), 1},
		{"not resumable, broken before", nil, []behaviour{breaks, breaks}, "502", 1},
		{"rejected", nil, []behaviour{rejects, rejects}, "503", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, route(catalog.Stream, c.change), c.targets...)
				defer r.close()
				got := r.ask("/a/b", "Wait", "5000")
				if got != c.want || r.reached() != c.reached {
					t.Errorf("got %s after %v, want %s after %d", got, r.runs, c.want, c.reached)
				}
			})
		})
	}
}

// TestResume has the first of two targets cut the stream and fall silent, and
// expects one whole answer.
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
			r := newRig(t, route(catalog.Stream, func(r *catalog.Route) { r.Resumable = true }), either, either)
			defer r.close()
			if diff := cmp.Diff(fmt.Sprintf("200 signed first %q", wholeStream), r.ask("/a/b", "Wait", "9000")); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStagesOfRequest expects all results of the last stages at the target, and
// every result to be freed.
func TestStagesOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inputs string
		r := newRig(t, route(catalog.Stream, func(r *catalog.Route) {
			r.Aim = 5 * time.Second
			r.Stages = []catalog.Stage{{Service: "p", ResultBytes: 10}, {Service: "p", After: []int{0}, ResultBytes: 10}, {Service: "p", ResultBytes: 10}}
		}), func(w http.ResponseWriter, req *http.Request) {
			inputs = req.Header.Get("Inputs")
			events("t", -1)(w, req)
		})
		defer r.close()
		if got := r.ask("/a/b", "Wait", "5000", "Pieces", "2,1,1"); got != fmt.Sprintf("200 signed t %q", wholeStream) {
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

// TestRefusals expects the host's own answers for what it doesn't take.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, route(catalog.Safe, nil), answers("x"))
		defer r.close()
		got := []string{r.ask("/b/"), r.ask("/a/b", "Id", "")}
		if diff := cmp.Diff([]string{"404", "400"}, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
		if r.reached() != 0 {
			t.Errorf("reached targets: %v", r.runs)
		}
	})
}

// TestShutdown stops a host with a request in flight and one that can't end: the
// first is served whole, the second gets an answer before the process ends.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Id") == "stuck" {
				<-r.Context().Done()
				return
			}
			time.Sleep(2 * time.Second)
			answers("x")(w, r)
		}
		r := newRig(t, route(catalog.Unsafe, nil), slow)
		got := make([]string, 2)
		var wg sync.WaitGroup
		wg.Go(func() { got[0] = r.ask("/a/b", "Wait", "20000") })
		wg.Go(func() { got[1] = r.ask("/a/b", "Wait", "20000", "Id", "stuck") })
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		r.close()
		if took := time.Since(start); took > 8*time.Second {
			t.Errorf("the host ended after %v", took)
		}
		wg.Wait()
		if diff := cmp.Diff([]string{`200 signed t "x"`, "502"}, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}

// TestStartWithoutStore starts a host while the store is down: it refuses with
// the time to come back and holds nothing for others, joins once it has read the
// configuration, and ends in time when it is told to stop before.
func TestStartWithoutStore(t *testing.T) {
	for _, back := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := prepareRig(t, route(catalog.Safe, nil), answers("x"))
			r.feed.down.Store(true)
			r.start()
			if got := r.ask("/a/b", "Wait", "3000"); got != "503" || r.host.joined.Load() || r.host.ready() {
				t.Errorf("got %s, joined %v, ready %v", got, r.host.joined.Load(), r.host.ready())
			}
			if back {
				r.feed.down.Store(false)
				time.Sleep(time.Second)
				if got := r.ask("/a/b", "Wait", "3000"); got != `200 signed t "x"` || !r.host.joined.Load() {
					t.Errorf("got %s, joined %v", got, r.host.joined.Load())
				}
			}
			start := time.Now()
			r.close()
			if took := time.Since(start); took > 8*time.Second {
				t.Errorf("the host ended after %v", took)
			}
		})
	}
}

// TestReload shortens the grace period of a running host.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, route(catalog.Unsafe, nil), hangs)
		s := *r.host.Settings
		s.GracePeriod = declaration.Duration(3 * time.Second)
		r.host.Reload(&s)
		done := make(chan string, 1)
		go func() { done <- r.ask("/a/b", "Wait", "20000") }()
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		r.close()
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("the host ended after %v", took)
		}
		if got := <-done; got != "502" {
			t.Error(got)
		}
	})
}
