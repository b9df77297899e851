package host

import (
	"errors"
	"fmt"
	"testing"

	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/go-cmp/cmp"
)

// TestTrackerBound fills the request tracker: one more request is refused as not
// run, and is accepted once another one has ended.
func TestTrackerBound(t *testing.T) {
	var tracker requestTracker
	var end func()
	for i := range maxInFlight {
		f, err := tracker.begin(fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		end = f
	}
	_, err := tracker.begin("more")
	var known *result.Error
	if !errors.As(err, &known) {
		t.Fatalf("a full tracker returned %v", err)
	}
	if diff := cmp.Diff(result.TableFull, known.Code); diff != "" {
		t.Errorf("code (-want +got):\n%s", diff)
	}
	end()
	end()
	if _, err := tracker.begin("more"); err != nil {
		t.Errorf("after one request has ended: %v", err)
	}
}
