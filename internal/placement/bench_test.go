package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
)

// benchTable is a load table in use by a number of hosts.
type benchTable struct {
	table   *LoadTable
	targets []*catalog.Target
	now     time.Time
	hosts   int
	chosen  int
	open    []*Work
}

// openPerTarget is the number of open requests for each target of a benchTable.
const openPerTarget = 20

func newBenchTable(policy Policy, hosts, targets int) *benchTable {
	b := &benchTable{table: NewLoadTable(fakeQuotas{}), now: time.Unix(1000, 0), hosts: hosts}
	if policy == WorkPolicy {
		b.table.work = newWorkState()
	}
	for i := range targets {
		b.targets = append(b.targets, &catalog.Target{ID: fmt.Sprint("target-", i), Slots: 48, Domain: "d"})
	}
	for i := range hosts {
		b.table.Apply(&Report{Host: fmt.Sprint("host-", i)}, b.now)
	}
	for range openPerTarget * targets {
		b.choose()
	}
	return b
}

// request returns a request with a prompt of four parts.
func (b *benchTable) request() *Work {
	b.chosen++
	rng := rand.New(rand.NewPCG(uint64(b.chosen), 0))
	w := &Work{ID: strconv.Itoa(b.chosen), Host: fmt.Sprint("host-", b.chosen%b.hosts), Route: "r", Workspace: fmt.Sprint("w", rng.IntN(16)), LengthHint: 50}
	for i := range 3 {
		w.Parts = append(w.Parts, Part{ID: fmt.Sprint("part-", i, "-", rng.IntN(100)), Tokens: 2000})
	}
	w.Parts = append(w.Parts, Part{ID: w.ID, Tokens: 1000})
	return w
}

// choose chooses for a request; nine in ten of them have a first event at once.
func (b *benchTable) choose() {
	w := b.request()
	b.table.Choose(w, b.targets, b.now)
	b.open = append(b.open, w)
	if b.chosen%10 != 0 {
		b.table.Apply(&Report{Host: w.Host, News: []News{{ID: w.ID, Progress: Begun}}}, b.now)
	}
}

// end ends the oldest request.
func (b *benchTable) end() {
	w := b.open[0]
	b.open = b.open[1:]
	b.table.Apply(&Report{Host: w.Host, News: []News{{ID: w.ID, Progress: Answered, Events: 10}}}, b.now)
}

// BenchmarkChoose measures one choice, with the end of another request, at 520 hosts and
// 150 targets.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range []Policy{PrefillPolicy, WorkPolicy} {
		b.Run(string(policy), func(b *testing.B) {
			t := newBenchTable(policy, 520, 150)
			b.ReportAllocs()
			requests := make([]*Work, 4096)
			for i := range requests {
				requests[i] = t.request()
			}
			for i := 0; b.Loop(); i++ {
				// A request has ended when its turn comes again.
				w := requests[i%len(requests)]
				t.now = t.now.Add(2500 * time.Microsecond)
				t.table.Choose(w, t.targets, t.now)
				t.open = append(t.open, w)
				t.end()
			}
		})
	}
}

// TestChoiceAllocations expects the allocations of a choice not to grow with the fleet.
func TestChoiceAllocations(t *testing.T) {
	allocations := func(hosts, targets int) float64 {
		b := newBenchTable(WorkPolicy, hosts, targets)
		w := b.request()
		return testing.AllocsPerRun(100, func() {
			b.table.cheapest(w, b.table.newWorkQuery(w, b.now), b.targets, b.now)
		})
	}
	small, large := allocations(5, 3), allocations(520, 150)
	if large > small {
		t.Errorf("%v allocations for a choice in a large fleet, %v in a small one", large, small)
	}
}

// TestStateSize bounds the memory of a load table at 520 hosts and 150 targets with 20
// open requests each, so that it fits into the smallest host beside everything else.
func TestStateSize(t *testing.T) {
	const bound = 8 << 20
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	b := newBenchTable(WorkPolicy, 520, 150)
	b.open = nil
	size := int64(heap()) - int64(before)
	t.Logf("%d open requests at %d targets: %d bytes", len(b.table.requests), len(b.table.targets), size)
	if size > bound {
		t.Errorf("the load table takes %d bytes, want at most %d", size, bound)
	}
	runtime.KeepAlive(b)
}
