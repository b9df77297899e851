package stage

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// takeoverStep is one random event of TestTakeoverFuzz.
type takeoverStep struct {
	name string
	host string
	// id names a reservation and the job that takes it up, listed those of a heartbeat.
	id     string
	listed []string
	fault  PieceFault
	wait   time.Duration
}

// takeoverSteps draws events. Few IDs make them meet.
func takeoverSteps(t *rapid.T) []takeoverStep {
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) takeoverStep {
		return takeoverStep{
			name: rapid.SampledFrom([]string{"reserve", "heartbeat", "release", "submit", "cancel", "free", "remove", "restore", "answer", "break", "wait", "wait"}).Draw(t, "name"),
			host: rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host"),
			id:   ids.Draw(t, "id"), listed: rapid.SliceOfNDistinct(ids, 0, 3, rapid.ID[string]).Draw(t, "listed"),
			fault: rapid.SampledFrom([]PieceFault{PieceDone, PieceDone, PieceLate, PieceInputGone, PieceNoMemory, PieceError}).Draw(t, "fault"),
			wait:  rapid.SampledFrom([]time.Duration{time.Millisecond, 30 * time.Millisecond, 120 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond}).Draw(t, "wait"),
		}
	}), 1, 60).Draw(t, "steps")
}

// TestTakeoverFuzz sends a batcher random messages of two hosts while its pool is removed and
// put back and its calls end in all ways. It guards against a host that ends by itself,
// and against accounts that are wrong afterwards: of the shares, of reservations, and of
// the calls and result memory of targets.
func TestTakeoverFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := takeoverSteps(rt)
		admission := rapid.SampledFrom([]Admission{ForecastAdmission, ReservationAdmission}).Draw(rt, "admission")
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			s := newTakeoverSite(t, admission)
			for i, step := range steps {
				s.take(t, i, step)
				if wrong = s.accounts(); len(wrong) > 0 {
					wrong = append(wrong, fmt.Sprintf("after step %d, %+v", i, step))
					return
				}
			}
			wrong = s.settle()
		})
		if diff := cmp.Diff([]string(nil), wrong); diff != "" {
			rt.Fatalf("accounts (-want +got):\n%s", diff)
		}
	})
}

// take makes one random event happen. Job IDs are unique, as those of hosts are.
func (s *takeoverSite) take(t *testing.T, i int, step takeoverStep) {
	switch step.name {
	case "reserve":
		s.reserve(step.host, step.id)
	case "heartbeat":
		s.heartbeat(step.host, step.listed)
	case "release":
		s.batcher.release(ReleaseArgs{Host: step.host, IDs: append(step.listed, step.id)})
	case "submit":
		j := testJob(fmt.Sprint(step.id, i), 1+i%10)
		j.Reservation, j.Promised, j.Promise = step.id, true, time.Second
		s.submit(t, j)
	case "cancel":
		s.batcher.do(func() {
			for _, j := range s.batcher.jobs {
				s.batcher.endJob(j, Cancelled)
			}
		})
	case "free":
		s.batcher.Free(s.takeResults())
	case "remove", "restore":
		s.remove(step.name == "remove")
	case "answer":
		s.answer(step.fault)
		s.breakCalls(false)
	case "break":
		s.breakCalls(true)
	case "wait":
		time.Sleep(step.wait)
	}
	synctest.Wait()
}

var errBroken = errors.New("broken connection")

// breakCalls sets whether calls end without an answer from now on.
func (s *takeoverSite) breakCalls(broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = broken
}

// takeResults returns the results of all jobs that have ended, once.
func (s *takeoverSite) takeResults() []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Result
	for id, o := range s.ended {
		out = append(out, o.Results...)
		delete(s.ended, id)
	}
	return out
}

// accounts returns what is wrong in the batcher's accounts.
func (s *takeoverSite) accounts() []string {
	var wrong []string
	s.batcher.do(func() {
		listed := 0
		for service, q := range s.batcher.queues {
			listed += len(q.reserved)
			wrong = append(wrong, q.wrongAccounts(service)...)
		}
		if n := len(s.batcher.reservations); n != listed {
			wrong = append(wrong, fmt.Sprintf("%d reservations, %d in queues", n, listed))
		}
	})
	return wrong
}

// wrongAccounts returns what is wrong in the accounts of q.
func (q *queue) wrongAccounts(service string) []string {
	var wrong []string
	for i, r := range q.reserved {
		if r.index != i {
			wrong = append(wrong, fmt.Sprintf("%s: reservation %s has index %d at %d", service, r.ID, r.index, i))
		}
	}
	for i, granted := range q.shares.all.granted {
		if granted < 0 || granted > q.shares.all.asked[i] {
			wrong = append(wrong, fmt.Sprintf("%s: %v granted of %v", service, granted, q.shares.all.asked[i]))
		}
	}
	if q.meanHeld < 0 {
		wrong = append(wrong, fmt.Sprintf("%s: results are held for %v", service, q.meanHeld))
	}
	for id, ts := range q.targetStates {
		held := int64(0)
		for _, r := range ts.results {
			held += r.bytes
		}
		if ts.calls < 0 || ts.reservedBytes < 0 || ts.heldBytes != held {
			wrong = append(wrong, fmt.Sprintf("%s: %s has %d calls, %d bytes reserved, %d of %d held", service, id, ts.calls, ts.reservedBytes, ts.heldBytes, held))
		}
	}
	return wrong
}

// settle puts the pool back, lets everything end and returns what is wrong afterwards.
func (s *takeoverSite) settle() []string {
	s.remove(false)
	s.answer(PieceDone)
	s.breakCalls(false)
	time.Sleep(20 * time.Second)
	wrong := s.accounts()
	s.batcher.do(func() {
		if jobs, rs := len(s.batcher.jobs), len(s.batcher.reservations); jobs > 0 || rs > 0 {
			wrong = append(wrong, fmt.Sprintf("%d jobs and %d reservations are left", jobs, rs))
		}
		for id, ts := range s.batcher.queue("s").targetStates {
			if ts.calls != 0 || ts.reservedBytes != 0 || ts.heldBytes != 0 {
				wrong = append(wrong, fmt.Sprintf("%s is left with %d calls, %d bytes reserved, %d held", id, ts.calls, ts.reservedBytes, ts.heldBytes))
			}
		}
	})
	if o := s.batcher.Submit(context.Background(), testJob("last", 8)); o.Fault != None {
		wrong = append(wrong, fmt.Sprintf("the last job ended with %v", o.Fault))
	}
	return wrong
}

// failing returns the error of a call while calls are broken.
func (s *takeoverSite) failing(*catalog.Target, []Piece) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		return errBroken
	}
	return nil
}
