package host

import (
	"errors"
	"fmt"
	"testing"

	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/go-cmp/cmp"
)

// TestGateBound fills the gate: one request more is refused as not run, and is
// let in once another has left.
func TestGateBound(t *testing.T) {
	var g requestTracker
	var leave func()
	for i := range maxInFlight {
		f, err := g.begin(fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		leave = f
	}
	_, err := g.begin("more")
	var known *result.Error
	if !errors.As(err, &known) {
		t.Fatalf("a full gate answered %v", err)
	}
	if diff := cmp.Diff(result.TableFull, known.Code); diff != "" {
		t.Errorf("code (-want +got):\n%s", diff)
	}
	leave()
	leave()
	if _, err := g.begin("more"); err != nil {
		t.Errorf("after one has left: %v", err)
	}
}
