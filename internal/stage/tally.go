package stage

import "time"

// Resolution of a tally. Its window of 2 s is shorter than a load peak of several seconds, so
// that the shares follow soon after the start of a peak, and what a workspace used in an
// earlier peak doesn't count against it.
const (
	tallyBucketTime = 250 * time.Millisecond
	tallyBuckets    = 8
	tallyWindow     = tallyBuckets * tallyBucketTime
)

// tally sums the costs that were asked for and granted over tallyWindow.
type tally struct {
	bucket         int64
	asked, granted [tallyBuckets]time.Duration
}

// advance drops the buckets that have left the window.
func (t *tally) advance(bucket int64) {
	for n := 0; t.bucket < bucket && n < tallyBuckets; n++ {
		t.bucket++
		t.asked[t.bucket%tallyBuckets], t.granted[t.bucket%tallyBuckets] = 0, 0
	}
	t.bucket = max(t.bucket, bucket)
}

// add adds a cost that was asked for.
func (t *tally) add(bucket int64, cost time.Duration, granted bool) {
	t.advance(bucket)
	t.asked[bucket%tallyBuckets] += cost
	if granted {
		t.granted[bucket%tallyBuckets] += cost
	}
}

// refund takes back a cost that was granted in an earlier bucket, unless that has left the
// window.
func (t *tally) refund(bucket, granted int64, cost time.Duration) {
	t.advance(bucket)
	if bucket-granted < tallyBuckets {
		t.granted[granted%tallyBuckets] -= cost
	}
}

// recentlyGranted returns the cost that was granted in the last n buckets up to bucket.
func (t *tally) recentlyGranted(bucket int64, n int64) time.Duration {
	t.advance(bucket)
	sum := time.Duration(0)
	for i := range n {
		if bucket-i >= 0 {
			sum += t.granted[(bucket-i)%tallyBuckets]
		}
	}
	return sum
}

// sums returns the costs of the window that ends with bucket.
func (t *tally) sums(bucket int64) (asked, granted time.Duration) {
	t.advance(bucket)
	for i := range tallyBuckets {
		asked += t.asked[i]
		granted += t.granted[i]
	}
	return asked, granted
}
