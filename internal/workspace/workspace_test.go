package workspace

import (
	"errors"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/go-cmp/cmp"
)

// fixedEstimate is the estimate for every queue.
type fixedEstimate queue.WaitEstimate

func (f fixedEstimate) EstimateWait(*queue.SlotRequest) queue.WaitEstimate {
	return queue.WaitEstimate(f)
}

func TestAdmit(t *testing.T) {
	p := &declaration.Pipeline{Name: "L", Stages: []declaration.Stage{{Name: "a", Pool: "P"}, {Name: "b", Pool: "Q"}}}
	for _, c := range []struct {
		name  string
		queue fixedEstimate
		want  result.Code
	}{
		{"unknown", fixedEstimate{}, result.OK},
		{"in time", fixedEstimate{FirstDecile: 400 * time.Millisecond, Wait: 50 * time.Millisecond}, result.OK},
		{"stages too long", fixedEstimate{FirstDecile: 600 * time.Millisecond}, result.DeadlineTooShort},
		{"queues too long", fixedEstimate{FirstDecile: 100 * time.Millisecond, Wait: 450 * time.Millisecond}, result.Overloaded},
		{"over share", fixedEstimate{FirstDecile: 100 * time.Millisecond, Wait: 200 * time.Millisecond, OverShare: true}, result.OverShare},
		{"over share, short queues", fixedEstimate{FirstDecile: 100 * time.Millisecond, Wait: 50 * time.Millisecond, OverShare: true}, result.OK},
	} {
		a := &Admission{Clock: &clock.Service{}, Queues: c.queue}
		_, err := a.Admit(&declaration.Workspace{Name: "W"}, p, 0, time.Now().Add(time.Second))
		got := result.OK
		var e *result.Error
		if errors.As(err, &e) {
			got = e.Code
			if e.Ran != result.RanNo {
				t.Errorf("%s: the refusal says Ran %v", c.name, e.Ran)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestRetriesBound spends as much as the budget allows and checks the bound: a
// twentieth of the time of the successful attempts plus initialBudget.
func TestRetriesBound(t *testing.T) {
	r := &RetryBudget{}
	const took, attempts = 100 * time.Millisecond, 10000
	var spent, earned time.Duration
	for i := range attempts {
		r.Earn("W", took)
		earned += took
		if i%2 == 0 && r.Take("W", took) {
			spent += took
		}
	}
	if limit := initialBudget + time.Duration(retryShare*float64(earned)); spent > limit {
		t.Errorf("spent %v of %v", spent, limit)
	}
	if spent < time.Duration(retryShare*float64(earned)) {
		t.Errorf("spent only %v of %v earned", spent, earned)
	}
	if !r.Take("V", took) {
		t.Error("another workspace has no budget")
	}
}

func TestHedgesLeaveRetries(t *testing.T) {
	r := &RetryBudget{}
	for r.TakeHedge("W", 100*time.Millisecond) {
	}
	if !r.Take("W", 100*time.Millisecond) {
		t.Error("hedges left nothing for retries")
	}
}
