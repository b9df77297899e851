package stage

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// fakePool runs calls in the fake time of testing/synctest and records them.
type fakePool struct {
	// fail, unless nil, returns the error of a call before it runs.
	fail func(t *catalog.Target, pieces []Piece) error
	// fault, unless nil, returns the fault of a piece.
	fault func(t *catalog.Target, p Piece) PieceFault
	// connect, unless nil, is called before the permit of a call is asked for.
	connect func()
	// signal, unless nil, returns what a target says of itself.
	signal func(t *catalog.Target) backpressure.Signal

	mu       sync.Mutex
	calls    []string
	freed    int
	produced int
}

const (
	testCallTime  = 100 * time.Millisecond
	testPieceTime = 10 * time.Millisecond
)

func (p *fakePool) Call(ctx context.Context, t *catalog.Target, pieces []Piece, permit func() error) (Reply, error) {
	if p.connect != nil {
		p.connect()
	}
	if err := permit(); err != nil {
		return Reply{}, err
	}
	p.mu.Lock()
	p.calls = append(p.calls, fmt.Sprintf("%s %d", t.ID, len(pieces)))
	p.mu.Unlock()
	if p.fail != nil {
		if err := p.fail(t, pieces); err != nil {
			return p.reply(t, nil), err
		}
	}
	select {
	case <-time.After(testCallTime + time.Duration(len(pieces))*testPieceTime):
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	out := make([]PieceResult, len(pieces))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, piece := range pieces {
		if p.fault != nil {
			out[i].Fault = p.fault(t, piece)
		}
		if out[i].Fault == PieceDone {
			p.produced++
			out[i].Handle = fmt.Sprintf("%s/%s/%d/%d", t.ID, piece.RequestID, piece.Stage, piece.Number)
		}
	}
	return p.reply(t, out), nil
}

// reply returns a reply of t with its signal.
func (p *fakePool) reply(t *catalog.Target, results []PieceResult) Reply {
	r := Reply{Results: results}
	if p.signal != nil {
		r.Signal = p.signal(t)
	}
	return r
}

func (p *fakePool) Free(_ context.Context, _ netip.AddrPort, handles []string, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed += len(handles)
	return nil
}

func newBackpressure() *backpressure.Table {
	return &backpressure.Table{Clock: &clock.Service{}, Log: zap.NewNop()}
}

func newQuotas() *backpressure.Holder {
	return &backpressure.Holder{Clock: &clock.Service{}, Log: zap.NewNop(), Table: newBackpressure(), Hosts: func() int { return 1 }}
}

// newBatcher starts a batcher for one service with the given number of targets.
func newBatcher(t *testing.T, pool *fakePool, targets int, p catalog.Pool) *Batcher {
	t.Helper()
	s := &catalog.Snapshot{
		Table:   &catalog.Table{Services: map[string]*catalog.Service{"s": {Name: "s", Pool: &p}}},
		Targets: map[string][]*catalog.Target{},
	}
	for i := range targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		s.Targets["s"] = append(s.Targets["s"], &catalog.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Addr: addr, Domain: fmt.Sprintf("d%d", i), Slots: 1})
	}
	b := &Batcher{Clock: &clock.Service{}, Log: zap.NewNop(), Pool: pool, Catalog: func() *catalog.Snapshot { return s }, Backpressure: newBackpressure(), Quotas: newQuotas()}
	startBatcher(t, b)
	return b
}

// startBatcher runs b until the test ends.
func startBatcher(t *testing.T, b *Batcher) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
}

func testPool() catalog.Pool {
	return catalog.Pool{Slots: 1, Queue: 2, Batch: 8, CallTime: testCallTime, PieceTime: testPieceTime, RoomBytes: 1000, ResultLife: 4 * time.Second}
}

func testJob(id string, pieces int) Job {
	return Job{ID: id, RequestID: id, Service: "s", Pieces: pieces, Key: "k", Due: time.Second, Left: 5 * time.Second, PieceBytes: 10}
}

// TestWholeJob expects the results of every piece: an outcome once held only the
// first result of a call.
func TestWholeJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		o := b.Submit(t.Context(), testJob("r", 3))
		var got []string
		for _, r := range o.Results {
			got = append(got, r.Handle)
		}
		if diff := cmp.Diff([]string{"t0/r/0/0", "t0/r/0/1", "t0/r/0/2"}, got); diff != "" {
			t.Errorf("handles (-want +got):\n%s", diff)
		}
	})
}

// submitAll submits jobs in order, without waiting for their ends, and returns
// their outcomes.
func submitAll(t *testing.T, b *Batcher, jobs ...Job) []Outcome {
	out := make([]Outcome, len(jobs))
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() { out[i] = b.Submit(t.Context(), j) })
		synctest.Wait()
	}
	wg.Wait()
	return out
}

// TestSharedCalls expects jobs that wait for a target to share its next call.
func TestSharedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		b := newBatcher(t, pool, 1, testPool())
		submitAll(t, b, testJob("a", 2), testJob("b", 3), testJob("c", 3), testJob("d", 4))
		if diff := cmp.Diff([]string{"t0 2", "t0 6", "t0 4"}, pool.calls); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}

// TestLargeJob expects a job larger than a call to be split.
func TestLargeJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		b := newBatcher(t, pool, 2, testPool())
		o := b.Submit(t.Context(), testJob("a", 20))
		if o.Fault != None || len(completedResults(o.Results)) != 20 {
			t.Errorf("outcome %v with %d results", o.Fault, len(completedResults(o.Results)))
		}
		for _, c := range pool.calls {
			if c != "t0 8" && c != "t1 8" && c != "t0 4" && c != "t1 4" {
				t.Errorf("call %q", c)
			}
		}
	})
}

// TestResultMemory expects no call while the target lacks memory for its results,
// and a call once results are freed.
func TestResultMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		p := testPool()
		p.RoomBytes = 50
		b := newBatcher(t, pool, 1, p)
		first := b.Submit(t.Context(), testJob("a", 4))
		start := time.Now()
		time.AfterFunc(time.Second, func() { b.Free(first.Results) })
		b.Submit(t.Context(), testJob("b", 4))
		if waited := time.Since(start); waited < time.Second {
			t.Errorf("second job ended after %v, before results were freed", waited)
		}
		if diff := cmp.Diff([]string{"t0 4", "t0 4"}, pool.calls); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}

// TestFailedCall expects the pieces of a failed call to run at another target.
func TestFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{fail: func(target *catalog.Target, _ []Piece) error {
			if target.ID == "t0" {
				return Error.New("reset")
			}
			return nil
		}}
		b := newBatcher(t, pool, 2, testPool())
		o := b.Submit(t.Context(), testJob("a", 2))
		if o.Fault != None || o.Results[0].Target != "t1" {
			t.Errorf("outcome %+v after calls %v", o, pool.calls)
		}
	})
}

// TestJobBesideAFailingOne has each call fail that holds pieces of one job, as a piece
// that ends its target does. Jobs whose pieces shared its calls must be completed: they
// failed with it.
func TestJobBesideAFailingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{fail: func(_ *catalog.Target, pieces []Piece) error {
			if slices.ContainsFunc(pieces, func(p Piece) bool { return p.RequestID == "bad" }) {
				return Error.New("reset")
			}
			return nil
		}}
		b := newBatcher(t, pool, 3, testPool())
		jobs := []Job{testJob("first1", 2), testJob("first2", 2), testJob("first3", 2), testJob("a", 2), testJob("bad", 2), testJob("b", 2)}
		var got []Fault
		for _, o := range submitAll(t, b, jobs...) {
			got = append(got, o.Fault)
		}
		if diff := cmp.Diff([]Fault{None, None, None, None, Failed, None}, got); diff != "" {
			t.Errorf("outcomes (-want +got):\n%s\ncalls %v", diff, pool.calls)
		}
	})
}

// TestCancelFrees expects the results of a cancelled job to be freed.
func TestCancelFrees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{}
		b := newBatcher(t, pool, 1, testPool())
		ctx, cancel := context.WithTimeout(t.Context(), testCallTime/2)
		defer cancel()
		o := b.Submit(ctx, testJob("a", 4))
		if o.Fault != Cancelled || !o.Sent {
			t.Errorf("outcome %+v", o)
		}
		time.Sleep(time.Second)
		pool.mu.Lock()
		defer pool.mu.Unlock()
		if pool.freed != pool.produced {
			t.Errorf("%d of %d results freed", pool.freed, pool.produced)
		}
	})
}

// TestLate expects a job to end at its deadline.
func TestLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 0, testPool())
		start := time.Now()
		j := testJob("a", 1)
		j.Left = 300 * time.Millisecond
		o := b.Submit(t.Context(), j)
		if took := time.Since(start); o.Fault != Late || o.Sent || took > 350*time.Millisecond {
			t.Errorf("outcome %+v after %v", o, took)
		}
	})
}

// TestInputGone expects a job whose input is lost to end at once.
func TestInputGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &fakePool{fault: func(*catalog.Target, Piece) PieceFault { return PieceInputGone }}
		b := newBatcher(t, pool, 1, testPool())
		if o := b.Submit(t.Context(), testJob("a", 2)); o.Fault != Gone {
			t.Errorf("outcome %+v", o)
		}
	})
}

// TestOverloadOnTime submits more than twice as many pieces as the target can
// process, which is slower than configured, and expects as many jobs to be on time
// as can be, and few to miss that by less than their time. A batcher that assumed
// calls of one piece at the configured speed finished many of them a little late.
func TestOverloadOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := testPool()
		pool.CallTime, pool.PieceTime = testCallTime*2/3, testPieceTime/2
		b := newBatcher(t, &fakePool{}, 1, pool)
		const due, jobs, spacing = 500 * time.Millisecond, 200, 20 * time.Millisecond
		var wg sync.WaitGroup
		var mu sync.Mutex
		onTime, barelyLate := 0, 0
		for i := range jobs {
			time.Sleep(spacing)
			wg.Go(func() {
				j := testJob(fmt.Sprint(i), 2)
				j.Due, j.Left, j.PieceBytes = due, 2*time.Second, 1
				j.Worth = float64(2*jobs - i) // jobs that are nearly late are worth most
				start := time.Now()
				o := b.Submit(t.Context(), j)
				took := time.Since(start)
				b.Free(o.Results)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case o.Fault != None:
				case took <= due:
					onTime++
				case took <= 2*due:
					barelyLate++
				}
			})
		}
		wg.Wait()
		// A full call runs 8 pieces, or 4 jobs, in 180 ms.
		most := int(4 * jobs * spacing / (testCallTime + 8*testPieceTime))
		if onTime < most*3/4 || barelyLate*20 > onTime+barelyLate {
			t.Errorf("%d jobs on time and %d barely late, at most %d can be on time", onTime, barelyLate, most)
		}
	})
}

// domainJob returns a job with large inputs in domain.
func domainJob(id, domain string, due time.Duration) Job {
	j := testJob(id, 2)
	j.Domain, j.MoveBytes, j.PieceBytes, j.Due = domain, 2*largeMoveBytes, 1, due
	return j
}

// TestOwnDomain expects jobs with large inputs to wait for the target of their
// domain, t0, while they can be on time there or can't be on time anywhere, and
// to run elsewhere if they can be on time only there.
func TestOwnDomain(t *testing.T) {
	full := testCallTime + 8*testPieceTime
	for _, test := range []struct {
		due  time.Duration
		want string
	}{
		{4 * full, "t0"},
		{full * 3 / 2, "t1"},
		{0, "t0"},
	} {
		synctest.Test(t, func(t *testing.T) {
			pool := &fakePool{}
			b := newBatcher(t, pool, 2, testPool())
			first := testJob("first", 8)
			first.Domain, first.MoveBytes, first.PieceBytes = "d0", 2*largeMoveBytes, 1
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() { b.Submit(t.Context(), first) })
			time.Sleep(time.Millisecond)
			o := b.Submit(t.Context(), domainJob("r", "d0", test.due))
			if o.Fault != None || o.Results[0].Target != test.want {
				t.Errorf("due in %v: %v at %v, want %s", test.due, o.Fault, o.Results, test.want)
			}
		})
	}
}

// TestCallOfOneDomain expects a call to take jobs of its target's domain before
// earlier jobs of other domains.
func TestCallOfOneDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 2, testPool())
		var wg sync.WaitGroup
		for i := range 2 {
			busy := testJob(fmt.Sprint("busy", i), 8)
			busy.PieceBytes = 1
			wg.Go(func() { b.Submit(t.Context(), busy) })
		}
		time.Sleep(time.Millisecond)
		for i := range 8 {
			domain := fmt.Sprintf("d%d", i%2)
			wg.Go(func() {
				o := b.Submit(t.Context(), domainJob(fmt.Sprint(i), domain, 350*time.Millisecond+time.Duration(i)))
				if o.Fault != None || o.Results[0].Domain != domain {
					t.Errorf("job %d of %s: %v, %v", i, domain, o.Fault, o.Results)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
	})
}

// newCrowdedQueue returns a batcher and its queue of 500 jobs of four domains, for
// 20 targets that are all in use.
func newCrowdedQueue(pool *catalog.Pool) (*Batcher, *queue) {
	now := time.Now()
	q := &queue{service: "s", signals: newBackpressure(), quotas: newQuotas(), pool: pool, targetStates: map[string]*targetState{}}
	s := &catalog.Snapshot{Table: &catalog.Table{Services: map[string]*catalog.Service{"s": {Name: "s", Pool: pool}}}, Targets: map[string][]*catalog.Target{}}
	for i := range 20 {
		t := &catalog.Target{ID: fmt.Sprint(i), Service: "s", Domain: fmt.Sprintf("d%d", i%4)}
		s.Targets["s"] = append(s.Targets["s"], t)
		q.targetState(t.ID).calls = 1
	}
	for i := range 500 {
		j := domainJob(fmt.Sprint(i), fmt.Sprintf("d%d", i%4), time.Second)
		q.jobs = append(q.jobs, &job{Job: j, due: now.Add(time.Hour - time.Duration(i)), waiting: []int{0, 1}, missing: 2})
	}
	return &Batcher{Clock: &clock.Service{}, Log: zap.NewNop(), Catalog: func() *catalog.Snapshot { return s }, Backpressure: newBackpressure(), Quotas: newQuotas()}, q
}

// TestBusyTargets expects jobs not to be ordered while no target is free, since
// every arrival at peak load would have that cost.
func TestBusyTargets(t *testing.T) {
	pool := testPool()
	b, q := newCrowdedQueue(&pool)
	b.dispatch(q)
	if q.jobs[0].ID != "0" {
		t.Error("jobs were ordered while every target was in use")
	}
}

// BenchmarkDispatch measures dispatch while the only target with a free slot has
// no free result memory.
func BenchmarkDispatch(b *testing.B) {
	pool := testPool()
	batcher, q := newCrowdedQueue(&pool)
	q.targetState("0").calls, q.targetState("0").heldBytes = 0, pool.RoomBytes
	for b.Loop() {
		batcher.dispatch(q)
	}
}
