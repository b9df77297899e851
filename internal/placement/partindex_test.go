package placement

import (
	"fmt"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
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

// TestCachedPartsAreEvicted sends a target more parts of prompts than are recorded, and expects
// the newest to be assumed cached, and a part in use to stay. It guards against targets at
// which nothing new is recorded once they have had many parts.
func TestCachedPartsAreEvicted(t *testing.T) {
	lt, now := NewLoadTable(fakeQuotas{}), time.Unix(1000, 0)
	targets := []*catalog.Target{{ID: "a", Slots: 4}}
	used := Part{ID: "used", Tokens: 100}
	choose := func(shared ...Part) int {
		now = now.Add(time.Millisecond)
		w := &Work{ID: "r", Host: "h", Parts: append(shared, Part{ID: "own", Tokens: 10})}
		c := lt.Choose(w, targets, now)
		lt.Apply(&Report{Host: "h", News: []News{{ID: "r", Progress: Answered}}}, now)
		return c.Cached
	}
	const parts = 3 * maxCachedParts
	for i := range parts {
		choose(Part{ID: fmt.Sprint(i), Tokens: 10})
		if got := choose(used); i > 0 && got != used.Tokens {
			t.Fatalf("after %d parts, %d tokens of a part in use are cached, want %d", i+1, got, used.Tokens)
		}
	}
	for id, want := range map[string]int{fmt.Sprint(parts - 1): 10, fmt.Sprint(parts - maxCachedParts/2): 10, "0": 0} {
		if got := choose(Part{ID: id, Tokens: 10}); got != want {
			t.Errorf("part %s: %d tokens are cached, want %d", id, got, want)
		}
	}
	if n := lt.targets["a"].cachedParts.Len(); n > maxCachedParts {
		t.Errorf("%d parts are recorded, want at most %d", n, maxCachedParts)
	}
}
