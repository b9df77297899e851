package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/stage"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// TestForecastEnd expects the wait at the pool of a later stage to pass while the request
// is in earlier stages, and to delay it only as far as it is longer. Waits that all add up
// refuse what can be served.
func TestForecastEnd(t *testing.T) {
	p := newChainPlan(10 * time.Second)
	calls := p.callTime(0) + p.callTime(1) + p.callTime(2)
	for _, c := range []struct {
		waits [3]time.Duration
		want  time.Duration
	}{
		{[3]time.Duration{}, calls + engineTime},
		{[3]time.Duration{0, p.callTime(0), p.callTime(0) + p.callTime(1)}, calls + engineTime},
		{[3]time.Duration{time.Second, 0, 0}, time.Second + calls + engineTime},
		{[3]time.Duration{0, 0, time.Second}, time.Second + p.callTime(2) + engineTime},
		{[3]time.Duration{time.Second, time.Second, time.Second}, time.Second + calls + engineTime},
	} {
		if got := p.forecastEnd(func(i int) time.Duration { return c.waits[i] }); got != c.want {
			t.Errorf("waits %v: %v, want %v", c.waits, got, c.want)
		}
	}
}

// TestSpreadReturn expects refused callers to return when the pools are expected to take
// work again, but not all at once, and within the third of the time left that they wait.
func TestSpreadReturn(t *testing.T) {
	const left = 9 * time.Second
	for _, c := range []struct{ wait, from, to time.Duration }{
		{0, minRetryAfter, minRetryAfter * 3 / 2},
		{time.Second, time.Second, 1500 * time.Millisecond},
		{time.Minute, left / 5, left / 3},
	} {
		p := newChainPlan(left)
		least, most := left, time.Duration(0)
		for range 200 {
			got := p.spreadReturn(c.wait)
			least, most = min(least, got), max(most, got)
		}
		if least < c.from || most > c.to || most-least < (c.to-c.from)/4 {
			t.Errorf("wait %v: %v to %v, want within %v to %v", c.wait, least, most, c.from, c.to)
		}
	}
	if got := newChainPlan(-time.Second).spreadReturn(time.Second); got != 0 {
		t.Errorf("after the deadline: %v", got)
	}
}

// TestAdmissionWithoutForecast sends requests of two stages at one pool to a host that no
// batcher replies to and that has no estimate, also if the holder was last known to be of a
// former version. It guards against admitting everything, and against counting a request
// once for each of its stages.
func TestAdmissionWithoutForecast(t *testing.T) {
	wanted := []stage.Reservation{{Service: "a"}, {Service: "a", Stage: 1}}
	for _, former := range []bool{false, true} {
		t.Run(fmt.Sprint("former=", former), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newChainPlan(time.Minute)
				admitted := 0
				for range 10 {
					if p.checkForecasts(wanted, []stage.Verdict{{Former: former}, {Former: former}}) == nil {
						admitted++
					}
				}
				if admitted != 4 {
					t.Errorf("%d requests admitted in a second, want 4", admitted)
				}
			})
		})
	}
}

// TestRecordedUntilLatestEnd expects the work of a request that is admitted by forecasts to be
// recorded for as long as a request may be late, longer than a promise is kept. It guards
// against records of late work that expire before its jobs come.
func TestRecordedUntilLatestEnd(t *testing.T) {
	for _, c := range []struct {
		admission stage.Admission
		lateness  time.Duration
	}{{stage.ForecastAdmission, maxLateness}, {stage.ReservationAdmission, reservedLateness}} {
		t.Run(string(c.admission), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newChainPlan(20 * time.Second)
				p.h.Settings = &settings.Gateway{StageAdmission: string(c.admission)}
				p.q.arrived, p.q.route.Aim = time.Now(), 4*time.Second
				wanted := p.wantedReservations()
				last, want := wanted[len(wanted)-1].End, p.q.route.Aim+c.lateness-engineTime
				if rounding := want - last; rounding < 0 || rounding > time.Microsecond {
					t.Errorf("latest end of the last stage after %v, want %v", last, want)
				}
			})
		})
	}
}

// TestJobTakesUpRecord expects the job of a request that was admitted by forecasts to name its
// record and whether the request has begun, and to carry no promise. It guards against work
// that counts twice, and against deferring requests of which stages have run.
func TestJobTakesUpRecord(t *testing.T) {
	p := newChainPlan(10 * time.Second)
	p.reservations = map[int]stage.Reservation{1: {ID: "r", Stage: 1}}
	p.q.stagesMayHaveRun = true
	j := stage.Job{Stage: 1}
	p.takeUpReservation(&j, time.Now())
	if diff := cmp.Diff(stage.Job{Stage: 1, Reservation: "r", Begun: true}, j); diff != "" {
		t.Errorf("job (-want +got):\n%s", diff)
	}
	if p.isReserved(1) {
		t.Error("the record can be taken up again")
	}
}

// TestEstimateInPlaceOfForecast expects the wait estimate of a pool to decide if its batcher
// does not reply. It guards against admitting everything while a batcher is frozen.
func TestEstimateInPlaceOfForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPeakFixture(t, stage.ForecastAdmission)
		r.host.Stages.Admission = stage.ForecastAdmission
		r.start()
		defer r.close()
		p := newChainPlan(time.Minute)
		p.h.Stages = r.host.Stages
		p.q.arrived, p.q.route.Aim = time.Now(), 4*time.Second
		wanted := []stage.Reservation{{ID: "new", Service: "a", Pieces: 1}}
		check := func() error { return p.checkForecasts(wanted, make([]stage.Verdict, 1)) }
		if err := check(); err != nil {
			t.Errorf("without work: %v", err)
		}
		// The second call brings the estimate with the work of the first one.
		for _, id := range []string{"first", "second"} {
			r.host.Stages.Reserve(t.Context(), []stage.Reservation{{ID: id, Service: "a", Pieces: 10000, End: time.Minute}})
			time.Sleep(50 * time.Millisecond)
		}
		if wait := r.host.Stages.WaitEstimate("a").Ahead; wait < 10*time.Second {
			t.Fatalf("estimated wait %v", wait)
		}
		p.h.Log = zap.NewNop()
		if check() == nil {
			t.Error("admitted to a pool with a wait of over 10s")
		}
	})
}
