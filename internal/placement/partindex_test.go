package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPartIndex expects a part to count as cached only where all parts before it are, until
// it expires, and the index to keep nothing of parts that have expired.
func TestPartIndex(t *testing.T) {
	now := time.Unix(1000, 0)
	x, a, b := newPartIndex(), &targetState{}, &targetState{}
	p, q := Part{ID: "p", Tokens: 100}, Part{ID: "q", Tokens: 10}
	x.add([]Part{p, q}, a, now)
	x.add([]Part{q}, b, now)
	check := func(parts []Part, want ...int) {
		t.Helper()
		x.find(parts, now)
		if diff := cmp.Diff(want, []int{x.tokens(a), x.tokens(b)}); diff != "" {
			t.Errorf("cached tokens (-want +got):\n%s", diff)
		}
	}
	check([]Part{p, q}, 110, 0)
	check([]Part{q}, 10, 10)
	check([]Part{q, p}, 110, 10)
	check(nil, 0, 0)
	check([]Part{{ID: "unknown"}, p}, 0, 0)
	now = now.Add(cachedPartLifetime / 2)
	x.add([]Part{p}, b, now)
	now = now.Add(cachedPartLifetime / 2)
	check([]Part{p, q}, 0, 100)
	for i := range 2 * maxIndexedParts {
		x.add([]Part{{ID: fmt.Sprint(i)}}, a, now)
	}
	if len(x.copies) > maxIndexedParts {
		t.Errorf("%d parts are kept", len(x.copies))
	}
	now = now.Add(2 * cachedPartLifetime)
	x.add([]Part{p}, a, now)
	if len(x.copies) != 1 {
		t.Errorf("%d parts are kept after all but one have expired", len(x.copies))
	}
}
