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
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/placement"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/pkg/declaration"
	"go.uber.org/zap"
)

// testFormat is a Format with short header names.
type testFormat struct{}

type noDirectory struct{}

// behaviour is the handler of a test target.
type behaviour func(w http.ResponseWriter, r *http.Request)

// fixture is one host with test targets, run in a synctest bubble.
type fixture struct {
	t       *testing.T
	network *link.Memory
	host    *Host
	feed    *testFeed
	// feeds holds the feeds of hosts that have another one.
	feeds  map[netip.Addr]*testFeed
	pool   *testPool
	client *http.Client
	stop   context.CancelFunc
	done   chan error
	hosts  []*runningHost // started by startHosts
	// admission is StageAdmission of the hosts that are started.
	admission stage.Admission

	mu       sync.Mutex
	received []string // target and ID of each request that reached a target
}

var (
	hostAddr   = netip.MustParseAddr("10.0.0.1")
	callerAddr = netip.AddrPortFrom(hostAddr, 80)
)

func targetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 80)
}

// newFixture starts a host, one target of service "s" for each behaviour, and a
// stage pool "p" of one target.
func newFixture(t *testing.T, routes []*catalog.Route, targets ...behaviour) *fixture {
	t.Helper()
	r := prepareFixture(t, routes, targets...)
	r.start()
	return r
}

// prepareFixture is newFixture without starting the host.
func prepareFixture(t *testing.T, routes []*catalog.Route, targets ...behaviour) *fixture {
	t.Helper()
	r := &fixture{t: t, network: &link.Memory{Delay: 500 * time.Microsecond}, pool: &testPool{}, done: make(chan error, 1)}
	feed := &testFeed{table: &catalog.Table{Version: 1, Routes: routes, Services: map[string]*catalog.Service{
		"s": {Name: "s"},
		"p": {Name: "p", Pool: &catalog.Pool{Slots: 1, Batch: 8, CallTime: 100 * time.Millisecond, RoomBytes: 1 << 20, ResultLife: time.Minute}},
	}}}
	for i, b := range targets {
		r.startTarget(i, b)
		id := fmt.Sprintf("t%d", i)
		feed.targets = append(feed.targets, catalog.TargetChange{ID: id, Target: &catalog.Target{ID: id, Service: "s", Addr: targetAddr(i), Slots: 8}})
	}
	feed.targets = append(feed.targets, catalog.TargetChange{ID: "p0", Target: &catalog.Target{ID: "p0", Service: "p", Addr: targetAddr(99), Slots: 1}})
	r.feed = feed
	r.host = r.newHost(hostAddr, nil)
	r.client = &http.Client{Transport: link.Transport(r.network.Process(netip.MustParseAddr("10.0.0.2")))}
	return r
}

// placeTargets places target i of the given number of targets in failure domain "d"
// followed by i, and those of the stage pool, which then has two, in d0 and d1. Region
// "north" has d0, "south" the others.
func (r *fixture) placeTargets(targets int) {
	for i := range targets {
		r.feed.targets[i].Target.Domain = fmt.Sprint("d", i)
	}
	r.feed.targets[targets].Target.Domain = "d0"
	r.feed.targets = append(r.feed.targets, catalog.TargetChange{ID: "p1", Target: &catalog.Target{ID: "p1", Service: "p", Addr: targetAddr(98), Domain: "d1", Slots: 1}})
	r.host.Settings.Regions = map[string]string{"d0": "north", "d1": "south", "d2": "south"}
}

// newHost returns a host at addr that knows the peers.
func (r *fixture) newHost(addr netip.Addr, peers []netip.AddrPort) *Host {
	r.t.Helper()
	n, c := r.network.Process(addr), &clock.Service{}
	u := &upstream.Client{Net: n, Clock: c}
	s := &settings.Gateway{
		Name: addr.String(), Domain: "d", CallerAddr: netip.AddrPortFrom(addr, callerAddr.Port()), ReadyAddr: netip.AddrPortFrom(addr, 81), PeerAddr: netip.AddrPortFrom(addr, 82),
		Peers: peers, MetricsPort: 83, ApplyTime: declaration.Duration(2 * time.Second), CPUShare: 1, CPUSpeed: 1, LinkMbps: 1000, MemoryMB: 100, GracePeriod: declaration.Duration(8 * time.Second), RepeatRatio: 0.2, RepeatSlack: 50,
		RepeatWindow: declaration.Duration(10 * time.Second), ColdFactor: coldFactor, ColdSlack: coldSlack, StageAdmission: string(r.admission),
	}
	feed := r.feed
	if other := r.feeds[addr]; other != nil {
		feed = other
	}
	h, err := New(s, n, c, zap.NewNop(), u, testFormat{}, feed, r.pool, noDirectory{}, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return h
}

// start starts the host and waits a second.
func (r *fixture) start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- r.host.Run(ctx) }()
	time.Sleep(time.Second)
}

// startHosts starts n hosts that know each other, waits until they have joined and
// returns their addresses.
func (r *fixture) startHosts(n int) []netip.Addr {
	r.hosts = make([]*runningHost, n)
	for i := range n {
		r.hosts[i] = &runningHost{addr: testHostAddr(i)}
	}
	var addrs []netip.Addr
	for _, h := range r.hosts {
		addrs = append(addrs, h.addr)
		r.startHost(h)
		r.t.Cleanup(func() { r.stopHost(h) })
	}
	time.Sleep(2 * time.Second)
	return addrs
}

// testHostAddr returns the address of host i of startHosts.
func testHostAddr(i int) netip.Addr {
	if i == 0 {
		return hostAddr
	}
	return netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
}

// runningHost is one host of several.
type runningHost struct {
	addr netip.Addr
	host *Host
	stop context.CancelFunc
	done chan error
}

// startHost starts a new process of h.
func (r *fixture) startHost(h *runningHost) {
	var peers []netip.AddrPort
	for _, other := range r.hosts {
		peers = append(peers, netip.AddrPortFrom(other.addr, 82))
	}
	host := r.newHost(h.addr, peers)
	ctx, stop := context.WithCancel(context.Background())
	h.host, h.stop, h.done = host, stop, make(chan error, 1)
	go func() { h.done <- host.Run(ctx) }()
}

// stopHost stops h and waits until it has ended.
func (r *fixture) stopHost(h *runningHost) {
	h.stop()
	if err := <-h.done; err != nil {
		r.t.Error(err)
	}
}

// close stops the host and waits until it has ended.
func (r *fixture) close() {
	r.client.CloseIdleConnections()
	r.stop()
	if err := <-r.done; err != nil {
		r.t.Error(err)
	}
}

func (r *fixture) startTarget(i int, b behaviour) {
	l, err := r.network.Process(targetAddr(i).Addr()).Listen(targetAddr(i))
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.received = append(r.received, fmt.Sprintf("t%d %s", i, req.Header.Get("Id")))
		r.mu.Unlock()
		io.Copy(io.Discard, req.Body)
		w.Header().Set("Id", req.Header.Get("Id"))
		b(w, req)
	})}
	go s.Serve(l)
	r.t.Cleanup(func() { s.Close() })
}

// requestCount returns the number of requests that reached targets.
func (r *fixture) requestCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received)
}

// post sends a request with the given header fields and describes its response.
func (r *fixture) post(path string, header ...string) string {
	return r.postContext(context.Background(), path, header...)
}

func (r *fixture) postContext(ctx context.Context, path string, header ...string) string {
	return r.send(ctx, callerAddr.Addr(), path, header...)
}

// postTo sends a request to the host at addr.
func (r *fixture) postTo(addr netip.Addr, path string, header ...string) string {
	return r.send(context.Background(), addr, path, header...)
}

func (r *fixture) send(ctx context.Context, host netip.Addr, path string, header ...string) string {
	url := "http://" + netip.AddrPortFrom(host, callerAddr.Port()).String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
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
		return "no response"
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

// The following functions are behaviours of test targets.

func respondsWith(body string) behaviour {
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

func (testFormat) ParseRequest(h http.Header) (RequestInfo, error) {
	a := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key")}
	if a.ID == "" {
		return a, errors.New("no Id")
	}
	if ms, err := strconv.Atoi(h.Get("Wait")); err == nil {
		a.Timeout = time.Duration(ms) * time.Millisecond
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
	if n, err := strconv.Atoi(h.Get("Hint")); err == nil {
		a.LengthHint = n
	}
	for _, id := range strings.Split(h.Get("Parts"), ",") {
		if id != "" {
			a.Prompt = append(a.Prompt, placement.Part{ID: id, Tokens: 100})
		}
	}
	return a, nil
}

func (testFormat) RequestHeader(h http.Header, s ForwardInfo) http.Header {
	out := http.Header{"Id": h["Id"], "Target": {s.Target}, "Workspace": {s.Workspace}, "User-Agent": {""}, "Inputs": {strings.Join(s.Inputs, ",")}, "Parts": h["Parts"]}
	out.Set("Left", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	if s.Resumes {
		out.Set("After", strconv.FormatInt(s.ResumeAfter, 10))
	}
	if s.SendsRank {
		out.Set("Priority", strconv.Itoa(s.Rank))
	}
	return out
}

func (testFormat) ParseResponse(_ int, h http.Header) ResponseInfo {
	s := backpressure.Signal{Leaving: h.Get("Leaving") != ""}
	if limit, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		s.Limited, s.Limit = true, limit
	}
	if pause, err := time.ParseDuration(h.Get("Pause")); err == nil {
		s.Pause = pause
	}
	return ResponseInfo{Signal: s, ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", InputsGone: h.Get("Not-Run") == "inputs"}
}

func (testFormat) ResponseHeader(h http.Header) http.Header {
	return http.Header{"Signed": h["Signed"]}
}

func (testFormat) RefusalHeader(_ string, after time.Duration) http.Header {
	return http.Header{"Retry": {after.String()}}
}

func (testFormat) ReadyPath() string { return "/ready" }

func (noDirectory) Hosts(context.Context) ([]netip.AddrPort, error) { return nil, nil }
func (noDirectory) Renew(context.Context) error                     { return nil }
