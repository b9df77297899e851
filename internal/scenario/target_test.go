package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// stand is the part of a stand-in target that the world uses.
type standinTarget interface {
	http.Handler
	SetFaults(standin.TargetFaults)
	Crash()
	Incarnation() string
}

// targetSite is one target.
type testTarget struct {
	name   string
	pool   string
	addr   netip.AddrPort
	server standinTarget
	leftAt time.Time // the word of the host list that it leaves, or zero
}

// tracedWorker and tracedEngine note each run before it reaches the stand-in.
type tracedWorker struct {
	*standin.Worker
	target *testTarget
	trace  *runTrace
}

func (s *tracedWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.trace.serve(s.target, s.Worker, w, r)
}

type tracedEngine struct {
	*standin.Engine
	target *testTarget
	trace  *runTrace
}

func (s *tracedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.trace.serve(s.target, s.Engine, w, r)
}

// trace is what reached the targets.
type runTrace struct {
	mu   sync.Mutex
	runs []tracedRun
}

// tracedRun is one run that reached a target.
type tracedRun struct {
	at     time.Time
	target string
	run    contract.Run
	work   contract.Work
	// ended is the time at which the target was done with the run, or zero.
	ended time.Time
	// fell is the incarnation of the target that ended under a run that crashes
	// targets, or empty.
	crashedIncarnation string
}

func (tr *runTrace) serve(site *testTarget, inner http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != contract.RunPath {
		inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	t := tracedRun{at: time.Now(), target: site.name}
	json.Unmarshal(body, &t.run)
	json.Unmarshal(t.run.Input, &t.work)
	tr.mu.Lock()
	i := len(tr.runs)
	tr.runs = append(tr.runs, t)
	tr.mu.Unlock()
	before := site.server.Incarnation()
	defer func() {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.runs[i].ended = time.Now()
		if t.work.Crash && site.server.Incarnation() != before {
			tr.runs[i].crashedIncarnation = before
		}
	}()
	inner.ServeHTTP(w, r)
}

// list returns a copy of the runs.
func (tr *runTrace) list() []tracedRun {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]tracedRun(nil), tr.runs...)
}

// addTarget starts a target and declares it.
func (w *cluster) addTarget(d declaration.Target, speed float64, engine bool) *testTarget {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(len(w.targets) + 1)}), 80)
	s := &testTarget{name: d.Name, pool: d.Pool, addr: addr}
	if engine {
		e := &tracedEngine{&standin.Engine{Name: d.Name, Speed: speed, Slots: d.Slots}, s, &w.trace}
		s.server = e
	} else {
		s.server = &tracedWorker{&standin.Worker{Name: d.Name, Speed: speed, Slots: d.Slots}, s, &w.trace}
	}
	w.serve(addr, s.server)
	w.targets[d.Name] = s
	d.Addr = addr
	w.section.Targets = append(w.section.Targets, d)
	w.setHostList()
	return s
}

// setList gives the host list its present state, but for the stale targets that
// it shows as live.
func (w *cluster) setHostList(stale ...string) {
	var entries []platform.HostEntry
	for _, d := range w.section.Targets {
		s := w.targets[d.Name]
		e := platform.HostEntry{Name: s.name, Addr: s.addr, Incarnation: s.server.Incarnation(), State: platform.Live}
		if !s.leftAt.IsZero() && !slices.Contains(stale, s.name) {
			e.State = platform.Leaving
		}
		entries = append(entries, e)
	}
	w.list.Set(entries)
}

// leave lets the host list call s leaving.
func (w *cluster) markLeaving(s *testTarget) {
	s.leftAt = time.Now().Add(w.list.Lag)
	w.setHostList()
}
