package backpressure

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRejections replays outcomes of requests to one target, one per step: a target
// that rejects once is soon asked again, one that rejects most requests now and then,
// and one that takes them again as before.
func TestRejections(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes string // r: rejected, a: answered
		step     time.Duration
		want     []time.Duration
	}{
		{"one", "r", 0, ms(87)},
		{"in a row", "rrrrr", 0, ms(87, 193, 344, 499, 636)},
		{"nine of ten", "rrrrrrrrrar", 100 * time.Millisecond, ms(87, 189, 328, 465, 582, 674, 742, 791, 826, 0, 443)},
		{"after a while", "rrrr", 20 * time.Second, ms(87, 87, 87, 87)},
		{"taken again", "rrraaar", 0, ms(87, 193, 344, 0, 0, 0, 156)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Rejections
			now := time.Unix(1000, 0)
			var got []time.Duration
			for _, o := range c.outcomes {
				got = append(got, r.Record(o == 'r', now).Round(time.Millisecond))
				now = now.Add(c.step)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("pauses (-want +got):\n%s", diff)
			}
		})
	}
}

func ms(values ...int) []time.Duration {
	var out []time.Duration
	for _, v := range values {
		out = append(out, time.Duration(v)*time.Millisecond)
	}
	return out
}
