package stage

import (
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// evacuable is the catalog of a batcher whose failure domains can be evacuated. Target
// i of service "s" is in failure domain "d" followed by i.
type evacuable struct {
	snapshot atomic.Pointer[catalog.Snapshot]
}

// evacuate makes the given failure domains the evacuated ones.
func (e *evacuable) evacuate(domains ...string) {
	s := *e.snapshot.Load()
	s.Evacuated = map[string]catalog.Position{}
	for _, d := range domains {
		s.Evacuated[d] = catalog.Position{Offset: 1}
	}
	e.snapshot.Store(&s)
}

// newEvacuableBatcher is newBatcher with a catalog whose failure domains can be
// evacuated.
func newEvacuableBatcher(t *testing.T, pool *fakePool, targets int) (*Batcher, *evacuable) {
	t.Helper()
	p := testPool()
	s := &catalog.Snapshot{Table: &catalog.Table{Services: map[string]*catalog.Service{"s": {Name: "s", Pool: &p}}}, Targets: map[string][]*catalog.Target{}}
	for i := range targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		s.Targets["s"] = append(s.Targets["s"], &catalog.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Addr: addr, Domain: fmt.Sprintf("d%d", i), Slots: 1})
	}
	e := &evacuable{}
	e.snapshot.Store(s)
	b := &Batcher{Clock: &clock.Service{}, Log: zap.NewNop(), Pool: pool, Catalog: e.snapshot.Load, Backpressure: newBackpressure(), Quotas: newQuotas(), Stopped: metrics.NewCounter()}
	startBatcher(t, b)
	return b, e
}

// TestEvacuationBeforeCall evacuates the failure domain of a call's target after the
// call was formed. Its pieces must run elsewhere, and without another target the job
// ends at once as one that was not sent, so that its request may be refused.
func TestEvacuationBeforeCall(t *testing.T) {
	for _, c := range []struct {
		evacuated []string
		want      Outcome
		calls     []string
	}{
		{[]string{"d0"}, Outcome{Fault: None, Sent: true}, []string{"t1 3"}},
		{[]string{"d0", "d1"}, Outcome{Fault: Failed}, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := &fakePool{}
			b, e := newEvacuableBatcher(t, pool, 2)
			e.evacuate("d1")
			pool.connect = func() { e.evacuate(c.evacuated...) }
			start := time.Now()
			o := b.Submit(t.Context(), testJob("r", 3))
			if diff := cmp.Diff(c.want, Outcome{Fault: o.Fault, Sent: o.Sent}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.calls, pool.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
			if o.Fault != None && time.Since(start) > sweepInterval {
				t.Errorf("the job ended after %v", time.Since(start))
			}
			if diff := cmp.Diff(int64(1), b.Stopped.Count()); diff != "" {
				t.Errorf("stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoFreeAtEvacuatedTarget expects results in an evacuated failure domain to be left
// to expire.
func TestNoFreeAtEvacuatedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		b, e := newEvacuableBatcher(t, pool, 1)
		o := b.Submit(t.Context(), testJob("r", 3))
		e.evacuate("d0")
		b.Free(o.Results)
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, pool.freed); diff != "" {
			t.Errorf("freed (-want +got):\n%s", diff)
		}
	})
}

// TestHomeRegionsOfJobs submits jobs with different restrictions to failure domains at
// the same time. No call may take pieces that must not run at its target, also when a
// call of other pieces has room for them; a job that no target may take ends at once.
func TestHomeRegionsOfJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		wrong := []string{}
		// The first letters of a job's name are its failure domains.
		domainsOf := func(id string) (domains []string) {
			list, _, _ := strings.Cut(id, "-")
			for _, d := range strings.Split(list, "+") {
				if d != "any" {
					domains = append(domains, d)
				}
			}
			return domains
		}
		pool.fault = func(target *catalog.Target, p Piece) PieceFault {
			if !catalog.DomainAllowed(domainsOf(p.RequestID), target.Domain) {
				wrong = append(wrong, p.RequestID+" at "+target.Domain)
			}
			return PieceDone
		}
		b, e := newEvacuableBatcher(t, pool, 3)
		var jobs []Job
		for i := range 60 {
			j := testJob(fmt.Sprintf("%s-%d", []string{"d0", "d1+d2", "any"}[i%3], i), 1+i%3)
			j.Domains = domainsOf(j.ID)
			j.Left = time.Minute
			jobs = append(jobs, j)
		}
		for i, o := range submitAll(t, b, jobs...) {
			if o.Fault != None {
				t.Errorf("job %s: %v", jobs[i].ID, o.Fault)
			}
		}
		if diff := cmp.Diff([]string{}, wrong); diff != "" {
			t.Errorf("pieces outside their failure domains (-want +got):\n%s", diff)
		}
		e.evacuate("d0")
		start := time.Now()
		j := testJob("d0-last", 1)
		j.Domains = []string{"d0"}
		if o := b.Submit(t.Context(), j); o.Fault != Failed || o.Sent || time.Since(start) > sweepInterval {
			t.Errorf("barred job: %+v after %v", o, time.Since(start))
		}
	})
}
