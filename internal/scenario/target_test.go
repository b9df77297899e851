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

// standinTarget is the part of a stand-in target's interface that a cluster uses.
type standinTarget interface {
	http.Handler
	SetFaults(standin.TargetFaults)
	Crash()
	Incarnation() string
}

// testTarget is one target of a cluster.
type testTarget struct {
	name   string
	pool   string
	addr   netip.AddrPort
	server standinTarget
	leftAt time.Time // when the host list reports it as leaving, or zero
}

// tracedWorker and tracedEngine record each run before it reaches the stand-in.
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

// runTrace records the runs that reached the targets.
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
	// ended is the time at which the target finished with the run, or zero.
	ended time.Time
	// crashedIncarnation is the target incarnation that ended while it executed this
	// run, if the run's work crashes targets; otherwise it is empty.
	crashedIncarnation string
}

func (tr *runTrace) serve(target *testTarget, inner http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != contract.RunPath {
		inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	t := tracedRun{at: time.Now(), target: target.name}
	json.Unmarshal(body, &t.run)
	json.Unmarshal(t.run.Input, &t.work)
	tr.mu.Lock()
	i := len(tr.runs)
	tr.runs = append(tr.runs, t)
	tr.mu.Unlock()
	before := target.server.Incarnation()
	defer func() {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.runs[i].ended = time.Now()
		if t.work.Crash && target.server.Incarnation() != before {
			tr.runs[i].crashedIncarnation = before
		}
	}()
	inner.ServeHTTP(w, r)
}

// list returns a copy of the recorded runs.
func (tr *runTrace) list() []tracedRun {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]tracedRun(nil), tr.runs...)
}

// addTarget starts a target and declares it.
func (cl *cluster) addTarget(d declaration.Target, speed float64, engine bool) *testTarget {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(len(cl.targets) + 1)}), 80)
	s := &testTarget{name: d.Name, pool: d.Pool, addr: addr}
	if engine {
		e := &tracedEngine{&standin.Engine{Name: d.Name, Speed: speed, Slots: d.Slots}, s, &cl.trace}
		s.server = e
	} else {
		s.server = &tracedWorker{&standin.Worker{Name: d.Name, Speed: speed, Slots: d.Slots}, s, &cl.trace}
	}
	cl.serve(addr, s.server)
	cl.targets[d.Name] = s
	d.Addr = addr
	cl.section.Targets = append(cl.section.Targets, d)
	cl.setHostList()
	return s
}

// setHostList publishes the current state of the targets on the host list, which
// shows the stale ones as live even if they are leaving.
func (cl *cluster) setHostList(stale ...string) {
	var entries []platform.HostEntry
	for _, d := range cl.section.Targets {
		s := cl.targets[d.Name]
		e := platform.HostEntry{Name: s.name, Addr: s.addr, Incarnation: s.server.Incarnation(), State: platform.Live}
		if !s.leftAt.IsZero() && !slices.Contains(stale, s.name) {
			e.State = platform.Leaving
		}
		entries = append(entries, e)
	}
	cl.list.Set(entries)
}

// markLeaving makes the host list report s as leaving.
func (cl *cluster) markLeaving(s *testTarget) {
	s.leftAt = time.Now().Add(cl.list.Lag)
	cl.setHostList()
}
