package stage

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

// TestMalformedJobs expects a batcher to refuse jobs that no host of this version
// sends, and to serve on.
func TestMalformedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		s := &Service{batcher: b}
		for _, change := range []func(*Job){
			func(j *Job) { j.Pieces = -1 },
			func(j *Job) { j.Pieces = 0 },
			func(j *Job) { j.Pieces = 1 << 40 },
			func(j *Job) { j.PieceBytes = -1 },
			func(j *Job) { j.Service = "unknown"; j.Left = time.Second },
		} {
			j := testJob("r", 2)
			change(&j)
			j.ID = "malformed"
			o := &Outcome{}
			if err := s.Run(&j, o); err != nil || o.Fault == None {
				t.Errorf("job %+v: outcome %+v, error %v", j, o, err)
			}
		}
		if o := b.Submit(t.Context(), testJob("q", 2)); o.Fault != None {
			t.Errorf("sound job afterwards: %v", o.Fault)
		}
	})
}

// TestJobOfSameID expects a second job with the ID of a waiting one to be refused
// without ending the first, which its sender can still cancel.
func TestJobOfSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatcher(t, &fakePool{}, 1, testPool())
		first := make(chan Outcome, 1)
		go func() { first <- b.Submit(t.Context(), testJob("r", 2)) }()
		synctest.Wait()
		if o := b.Submit(t.Context(), testJob("r", 2)); o.Fault != Failed {
			t.Errorf("second job: %v", o.Fault)
		}
		b.Cancel("r")
		if o := <-first; o.Fault != Cancelled {
			t.Errorf("first job: %v, want it cancelled", o.Fault)
		}
	})
}

// TestFaultOfOtherVersion expects a fault that this version doesn't know to have a
// name for the log.
func TestFaultOfOtherVersion(t *testing.T) {
	for f, want := range map[Fault]string{Moved: "moved", Moved + 1: "fault 6", -1: "fault -1"} {
		if got := f.String(); got != want {
			t.Errorf("fault %d: %q, want %q", int(f), got, want)
		}
	}
}

// TestSubmitAtStop cancels a job at the moment at which its batcher stops.
func TestSubmitAtStop(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			b := &Batcher{Self: "h", Clock: &clock.Service{}, Log: zap.NewNop(), Pool: &fakePool{}, Catalog: newBatcher(t, &fakePool{}, 1, testPool()).Catalog, Backpressure: newBackpressure(), Quotas: newQuotas()}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- b.Run(ctx) }()
			go b.Submit(ctx, testJob("r", 2))
			time.Sleep(time.Millisecond)
			cancel()
			<-done
		})
	}
}

// TestUpcomingReturnsToZero expects a client whose announced pieces have arrived not
// to ping their holder any more.
func TestUpcomingReturnsToZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3).clients[0]
		c.AddUpcoming("s", 3)
		if n := len(c.activeHolders()); n != 1 {
			t.Errorf("%d holders with upcoming pieces, want 1", n)
		}
		c.AddUpcoming("s", -3)
		if n := len(c.activeHolders()); n != 0 {
			t.Errorf("%d holders without upcoming pieces, want 0", n)
		}
	})
}
