package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPolicies expects an unknown policy of placement or of admission to be reported by
// name: a host that takes it for the default would decide otherwise than its operator asked
// for.
func TestPolicies(t *testing.T) {
	const rest = `"Name": "a", "Domain": "d", "CallerAddr": "10.0.0.1:80", "ReadyAddr": "10.0.0.1:81", "PeerAddr": "10.0.0.1:82", "MetricsPort": 83,
		"StoreAddr": "10.0.0.2:80", "CPUShare": 1, "CPUSpeed": 1, "LinkMbps": 100, "MemoryMB": 100, "GracePeriod": "8s", "ApplyTime": "2s",
		"RepeatRatio": 0.2, "RepeatSlack": 50, "RepeatWindow": "10s"`
	for _, c := range []struct{ field, placement, problem string }{
		{"", "", ""},
		{`"PlacementPolicy": "Prefill", `, "Prefill", ""},
		{`"PlacementPolicy": "Work", `, "Work", ""},
		{`"PlacementPolicy": "work", `, "", `must be "Prefill" or "Work", is "work"`},
		{`"StageAdmission": "Forecast", `, "", ""},
		{`"StageAdmission": "Reservation", `, "", ""},
		{`"StageAdmission": "forecast", `, "", `must be "Estimate", "Forecast" or "Reservation", is "forecast"`},
	} {
		g, err := ParseGateway("settings", []byte("{"+c.field+rest+"}"))
		if c.problem != "" {
			if err == nil || !strings.Contains(err.Error(), c.problem) {
				t.Errorf("%s: error %v, want one with %s", c.field, err, c.problem)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.field, err)
			continue
		}
		if diff := cmp.Diff(c.placement, g.PlacementPolicy); diff != "" {
			t.Errorf("%s: policy (-want +got):\n%s", c.field, diff)
		}
	}
}
