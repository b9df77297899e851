package peer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestStrong expects the hosts of at least half the greatest strength, and all
// hosts if no strength is known.
func TestStrong(t *testing.T) {
	comparable := cmpopts.EquateComparable(Host{})
	m := NewMembers([]Host{{Name: "a", Strength: 0.04}, {Name: "b", Strength: 0.8}, {Name: "c", Strength: 0.5}, {Name: "d", Strength: 0.1}})
	if diff := cmp.Diff(NewMembers([]Host{{Name: "b", Strength: 0.8}, {Name: "c", Strength: 0.5}}), m.Strong(), comparable); diff != "" {
		t.Errorf("strong (-want +got):\n%s", diff)
	}
	same := NewMembers([]Host{{Name: "a"}, {Name: "b"}})
	if diff := cmp.Diff(same, same.Strong(), comparable); diff != "" {
		t.Errorf("without strengths (-want +got):\n%s", diff)
	}
}
