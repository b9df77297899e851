package stage

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// TestTimeFor checks the time after which two targets have taken up work, with and without
// calls that they run.
func TestTimeFor(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		busy       []time.Duration
		cost, want time.Duration
	}{
		{[]time.Duration{0, 0}, 0, 0},
		{[]time.Duration{0, 0}, 300 * ms, 300 * ms},
		{[]time.Duration{0, 200 * ms}, 0, 0},
		{[]time.Duration{0, 200 * ms}, 100 * ms, 200 * ms},
		{[]time.Duration{200 * ms, 200 * ms}, 0, 200 * ms},
		{[]time.Duration{200 * ms, 200 * ms}, 300 * ms, 500 * ms},
		{[]time.Duration{0, 0}, 10 * time.Second, 10 * time.Second},
	} {
		capacity := capacity{}
		for _, d := range c.busy {
			capacity.busy.add(d)
		}
		if got := capacity.timeFor(c.cost); got != c.want {
			t.Errorf("busy for %v, work of %v: %v, want %v", c.busy, c.cost, got, c.want)
		}
	}
}

// TestForecastOfLateWork expects work that can't be on time to wait for what the recorded
// work leaves: in a peak, new work that can be on time goes first until the peak ends. It
// guards against admitting late work that then ends unserved.
func TestForecastOfLateWork(t *testing.T) {
	now := time.Now()
	pool := testPool()
	q := &queue{service: "s", pool: &pool, epoch: now, sharing: true, targetStates: map[string]*targetState{}}
	for i := range 2 {
		q.targets = append(q.targets, &catalog.Target{ID: fmt.Sprint(i), Service: "s"})
	}
	late := &job{Job: Job{PieceBytes: 1}, due: now.Add(-time.Second), waiting: make([]int, 16)}
	onTime := &job{Job: Job{PieceBytes: 1}, due: now.Add(time.Minute), waiting: make([]int, 8)}
	q.jobs = []*job{late, onTime}
	asked := testReservation("asked", 1, time.Hour)
	c := q.capacity(now)
	cost := c.cost(8, 1)
	want := Outlook{Ahead: c.timeFor(cost), All: c.timeFor(3 * cost), PerPiece: c.piece}
	if diff := cmp.Diff(want, q.forecast(c, &asked, 0, now)); diff != "" {
		t.Errorf("idle pool (-want +got):\n%s", diff)
	}
	r := testReservation("r", 8, time.Second)
	q.shares.record(&r, c.cost(8, 1), true, now)
	for range 100 {
		q.shares.record(&r, cost, true, now)
	}
	now = now.Add(100 * time.Millisecond)
	busy := q.forecast(c, &asked, 0, now)
	if busy.Ahead != want.Ahead || busy.All < 10*want.All {
		t.Errorf("overloaded pool: %+v, idle: %+v", busy, want)
	}
	if got := q.forecast(c, &asked, headroomStep, now); got.Ahead != c.timeFor(cost+headroomStep) {
		t.Errorf("with headroom: %+v", got)
	}
}

// TestForecastFollowsOrder expects only work that the queue takes first to be ahead: that
// which is due earlier and not less urgent, waiting or recorded. It guards against admission
// in the order of arrival, by which a peak of requests with long target latencies, or of less
// urgent ones, gets others refused.
func TestForecastFollowsOrder(t *testing.T) {
	now := time.Now()
	pool := testPool()
	q := &queue{service: "s", pool: &pool, epoch: now, sharing: true, targetStates: map[string]*targetState{}}
	for i := range 2 {
		q.targets = append(q.targets, &catalog.Target{ID: fmt.Sprint(i), Service: "s"})
	}
	q.jobs = []*job{{Job: Job{PieceBytes: 1, Rank: 1}, due: now.Add(10 * time.Second), waiting: make([]int, 8)}}
	r := testReservation("r", 8, time.Minute)
	r.Rank = 1
	q.reserved = []*reservation{{Reservation: r, due: 20 * time.Second}}
	c := q.capacity(now)
	none, one, both := time.Duration(0), c.timeFor(c.cost(8, 1)), c.timeFor(c.cost(16, 1))
	for _, test := range []struct {
		rank      int
		due, want time.Duration
	}{
		{0, time.Minute, none}, {1, time.Minute, both}, {2, time.Minute, both},
		{1, 15 * time.Second, one}, {1, 5 * time.Second, none},
	} {
		asked := testReservation("asked", 1, time.Minute)
		asked.Rank, asked.Due = test.rank, test.due
		if got := q.forecast(c, &asked, 0, now).Ahead; got != test.want {
			t.Errorf("rank %d, due in %v: %v ahead, want %v", test.rank, test.due, got, test.want)
		}
	}
}

// TestForecastsOfManyHosts has hosts without jobs at the batcher ask it one after the other.
// Each forecast must hold what the others were told, and no longer what was given back. It
// guards against hosts that all see the same free capacity.
func TestForecastsOfManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5).admitting(ForecastAdmission)
		const n = 20
		var last Outlook
		var recorded []Reservation
		for i := range n {
			r := testReservation(fmt.Sprint(i), 8, 5*time.Second)
			v := cl.clients[i%5].Reserve(t.Context(), []Reservation{r})[0]
			if !v.Replied || !v.Granted || v.Forecast.Ahead < last.Ahead {
				t.Fatalf("reservation %d: %+v after %+v", i, v, last)
			}
			cl.clients[i%5].Keep([]Reservation{r})
			last, recorded = v.Forecast, append(recorded, r)
		}
		// Two targets run at most 8 pieces each per 180 ms.
		if least := (n - 1) / 2 * 180 * time.Millisecond; last.Ahead < least {
			t.Errorf("forecast of the last one: %v, want at least %v", last.Ahead, least)
		}
		for i, r := range recorded {
			cl.clients[i%5].GiveBack([]Reservation{r})
		}
		time.Sleep(2 * recentLifetime)
		if v := cl.clients[0].Reserve(t.Context(), []Reservation{testReservation("next", 8, 5*time.Second)})[0]; v.Forecast.Ahead != 0 {
			t.Errorf("after all was given back: %+v", v)
		}
	})
}

// TestRecordedOnce repeats a call whose reply was lost. The work must count once, and not as
// a wait of the request itself.
func TestRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		args := ReserveArgs{Host: "h", Record: true, Reservations: []Reservation{testReservation("r", 8, time.Second)}}
		var answers []Answer
		for range 2 {
			reply, err := b.reserve(args, true)
			if err != nil || !reply.Answers[0].Granted {
				t.Errorf("%+v, %v", reply, err)
			}
			answers = append(answers, reply.Answers...)
		}
		if diff := cmp.Diff(answers[0], answers[1]); diff != "" {
			t.Errorf("second answer (-first +second):\n%s", diff)
		}
		if n := reservationCount(b); n != 1 {
			t.Errorf("%d reservations, want 1", n)
		}
	})
}

// TestNothingRecordedWithoutTargets expects a pool without targets to take no work, so that
// its requests are refused at once.
func TestNothingRecordedWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 0, testPool())
		reply, err := b.reserve(ReserveArgs{Host: "h", Record: true, Reservations: []Reservation{testReservation("r", 8, time.Second)}}, true)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]Answer{{Wait: noTargetWait}}, reply.Answers); diff != "" || reservationCount(b) != 0 {
			t.Errorf("%d reservations, answers (-want +got):\n%s", reservationCount(b), diff)
		}
	})
}

// TestRecordAfterPoolIsRemoved removes a pool from the configuration within recentLifetime of
// a call, and repeats the call. It guards against a crash of the batcher's host: the capacity
// was then still that of the removed pool.
func TestRecordAfterPoolIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		first, second := testReservation("r", 8, time.Second), testReservation("other", 8, time.Second)
		if _, err := b.reserve(ReserveArgs{Host: "h", Record: true, Reservations: []Reservation{first}}, true); err != nil {
			t.Fatal(err)
		}
		if err := b.do(func() {
			b.Catalog = func() *catalog.Snapshot { return &catalog.Snapshot{Table: &catalog.Table{}} }
			b.queue("s").refresh(b.Catalog())
		}); err != nil {
			t.Fatal(err)
		}
		for _, record := range []bool{true, false} {
			if reply, err := b.reserve(ReserveArgs{Host: "h", Record: record, Reservations: []Reservation{first}}, true); err != nil || !reply.Answers[0].Granted {
				t.Errorf("repeated call, record %v: %+v, %v", record, reply, err)
			}
			if reply, err := b.reserve(ReserveArgs{Host: "h", Record: record, Reservations: []Reservation{second}}, true); err != nil || reply.Answers[0].Granted {
				t.Errorf("new call, record %v: %+v, %v", record, reply, err)
			}
		}
	})
}

// TestRecordedWorkIsListed expects recorded work to count for as long as the host's heartbeats
// list it, and no longer if the reply to it was lost. It guards against heartbeats without a
// list, after which a batcher drops the work of hosts that are alive.
func TestRecordedWorkIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3).admitting(ForecastAdmission)
		c, holder := cl.clients[cl.nonHolder()], cl.batchers[cl.holder()]
		reserveOne(t, c, testReservation("admitted", 8, 10*time.Second))
		c.Reserve(t.Context(), []Reservation{testReservation("lost", 8, 10*time.Second)})
		time.Sleep(2 * silentLifetime)
		var recorded []string
		if err := holder.do(func() { recorded = slices.Collect(maps.Keys(holder.reservations)) }); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"admitted"}, recorded); diff != "" {
			t.Errorf("recorded (-want +got):\n%s", diff)
		}
	})
}

// TestShareOrdersWithForecasts expects the job of a workspace beyond its share to be deferred
// if not all jobs can be on time, also if it is worth more. It guards against a workspace that
// displaces others by jobs of higher worth.
func TestShareOrdersWithForecasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		if err := b.do(func() {
			b.Admission = ForecastAdmission
			now := b.Clock.Now()
			q := b.queue("s")
			q.refresh(b.Catalog())
			q.shares.over = map[string]bool{"big": true}
			big := &job{Job: Job{Workspace: "big", Pieces: 8}, worth: 2, waiting: make([]int, 8)}
			small := &job{Job: Job{Workspace: "small", Pieces: 8}, worth: 1, waiting: make([]int, 8)}
			q.jobs = []*job{big, small}
			for _, j := range q.jobs {
				j.due = now.Add(q.callTime() + q.workTime(j))
			}
			q.order(now)
			if !big.deferred || small.deferred {
				t.Errorf("deferred: the job beyond the share %v, the other one %v", big.deferred, small.deferred)
			}
			q.jobs = nil
		}); err != nil {
			t.Fatal(err)
		}
	})
}
