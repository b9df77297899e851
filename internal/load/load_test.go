package load

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/go-cmp/cmp"
)

// fakeHost stands for hosts and a target together: it answers requests and
// counts runs, and injects its fault into every tenth request.
type fakeHost struct {
	fault string

	mu       sync.Mutex
	requests int
	last     string
	runs     map[string]int
}

func (f *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == standin.ControlPath {
		json.NewEncoder(w).Encode(standin.TargetStatus{Runs: f.runs})
		return
	}
	var work contract.Work
	json.NewDecoder(r.Body).Decode(&work)
	io.Copy(io.Discard, r.Body)
	key := r.Header.Get(caller.KeyHeader)
	f.requests++
	fault := ""
	if f.requests%10 == 0 {
		fault = f.fault
	}
	a := caller.Answer{Name: result.OK.String(), Ran: result.RanYes, Output: "w(a: " + work.Text + ")"}
	f.runs[key]++
	switch fault {
	case "lost":
		panic(http.ErrAbortHandler)
	case "doubled":
		f.runs[key]++
	case "foreign":
		a.Output = f.last
	case "not run":
		delete(f.runs, key)
	case "false refusal":
		a = caller.Answer{Code: result.Overloaded, Name: result.Overloaded.String(), Ran: result.RanNo}
	}
	f.last = a.Output
	json.NewEncoder(w).Encode(&a)
}

// TestFaultsAreFound checks that each fault of a host shows in the summary, and
// that a correct host shows none.
func TestFaultsAreFound(t *testing.T) {
	type faults struct{ Lost, Doubled, Foreign, FalseRefusals int }
	for fault, want := range map[string]faults{
		"":              {},
		"lost":          {Lost: 10},
		"doubled":       {Doubled: 10},
		"foreign":       {Foreign: 10, Lost: 10},
		"not run":       {Lost: 10},
		"false refusal": {FalseRefusals: 10},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := doRun(t, &fakeHost{fault: fault, runs: map[string]int{}})
			if diff := cmp.Diff(want, faults{s.Lost, s.Doubled, s.Foreign, s.FalseRefusals}); diff != "" {
				t.Errorf("%q (-want +got):\n%s", fault, diff)
			}
			if (s.Fault() != nil) != (fault != "") {
				t.Errorf("%q: the run's fault is %v", fault, s.Fault())
			}
		})
	}
}

// doRun sends a hundred requests with keys to h.
func doRun(t *testing.T, h http.Handler) *Summary {
	t.Helper()
	m := &link.Memory{}
	addr := netip.MustParseAddrPort("127.0.0.2:80")
	server := &standin.Server{Net: m.Process(addr.Addr()), Addr: addr, Handler: h}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	r := &Run{
		Net: m.Process(netip.MustParseAddr("127.0.0.1")), Clock: &clock.Service{},
		Hosts: []netip.AddrPort{addr}, Targets: []netip.AddrPort{addr},
		Workspace: "W", Pipeline: "P", Keys: true, Deadline: time.Second, Seed: 1,
		Arrivals: Arrivals{Rate: 100, Duration: time.Minute, Max: 100},
		Work:     Work{ServiceTime: time.Millisecond, Sigma: 1, LongShare: 0.1, LongFactor: 20},
	}
	s, err := r.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(100, s.Sent+s.Unsent); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	return s
}

// TestLatencyIsMeasuredFromScheduledTime checks that requests scheduled during
// a stall of the host, more than their deadline of one second before its end,
// miss that deadline.
func TestLatencyIsMeasuredFromScheduledTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := &fakeHost{runs: map[string]int{}}
		s := doRun(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if stall := 2*time.Second - time.Since(start); stall > 0 {
				time.Sleep(stall)
			}
			f.ServeHTTP(w, r)
		}))
		if s.InTime == 0 || s.InTime > 60 {
			t.Errorf("%d of %d requests were in time, although the host stalled for the first two seconds", s.InTime, s.Sent)
		}
	})
}

// TestArrivals checks the number of arrivals inside and outside the peak, and
// that a seed reproduces them.
func TestArrivals(t *testing.T) {
	a := Arrivals{Rate: 1000, Duration: 10 * time.Second, Shape: Peak{Factor: 3, Start: 4 * time.Second, Duration: 2 * time.Second}}
	got := a.draw(rand.New(rand.NewPCG(1, 1)))
	inPeak := 0
	for _, at := range got {
		if at >= 4*time.Second && at < 6*time.Second {
			inPeak++
		}
	}
	if inPeak < 5700 || inPeak > 6300 || len(got)-inPeak < 7600 || len(got)-inPeak > 8400 {
		t.Errorf("%d arrivals in the peak, %d outside it; want about 6000 and 8000", inPeak, len(got)-inPeak)
	}
	if diff := cmp.Diff(got, a.draw(rand.New(rand.NewPCG(1, 1)))); diff != "" {
		t.Error("the same seed gave other arrivals")
	}
}

func TestNonLoopbackAddressesAreRefused(t *testing.T) {
	r := &Run{Clock: &clock.Service{}, Hosts: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")}, Arrivals: Arrivals{Rate: 1, Duration: time.Second}}
	if _, err := r.Do(t.Context()); err == nil {
		t.Error("a host outside loopback was accepted")
	}
}
