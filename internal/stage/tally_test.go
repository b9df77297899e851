package stage

import (
	"testing"
	"time"
)

// TestRefundOfEarlierGrant gives back what was granted in earlier buckets. It guards against
// taking it from what was granted lately, by which a pool looks idle while requests end.
func TestRefundOfEarlierGrant(t *testing.T) {
	c := &tally{}
	c.add(0, time.Second, true)
	c.add(3, 100*time.Millisecond, true)
	c.refund(3, 0, time.Second)
	if got := c.recentlyGranted(3, 1); got != 100*time.Millisecond {
		t.Errorf("%v granted in the last bucket", got)
	}
	c.add(3+tallyBuckets, 50*time.Millisecond, true)
	c.refund(3+tallyBuckets, 3, 100*time.Millisecond)
	if asked, granted := c.sums(3 + tallyBuckets); asked != 50*time.Millisecond || granted != asked {
		t.Errorf("asked %v, granted %v after a refund of what has left the window", asked, granted)
	}
}
