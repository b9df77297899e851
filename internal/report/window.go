package report

import "time"

// ringBuckets is the number of complete buckets of a window. A ring has one more
// for the current, incomplete bucket, so that a window covers its length and up
// to a twelfth more.
const ringBuckets = 12

// window is a length of time over which a burn rate is computed.
type window struct {
	length time.Duration
}

func (w window) bucket() time.Duration { return w.length / ringBuckets }

// windows are those of the usual multi-window burn-rate alerts.
var windows = [...]window{{5 * time.Minute}, {time.Hour}, {6 * time.Hour}, {72 * time.Hour}}

// Count holds the total number of requests and the number of good ones, which
// were answered in time.
type Count struct {
	Good  int64
	Total int64
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Total += o.Total
}

// Bad returns the number of requests that were not answered in time.
func (c Count) Bad() int64 { return c.Total - c.Good }

// ring counts requests in the newest time buckets. A bucket's number is the time
// since the Unix epoch divided by the bucket length, so that the buckets of
// several hosts align.
type ring struct {
	newest  int64
	buckets [ringBuckets + 1]struct{ good, total uint32 }
}

func ringIndex(number int64) int64 { return number % (ringBuckets + 1) }

// advance moves the newest bucket forward to number and clears those passed.
func (r *ring) advance(number int64) {
	if number-r.newest > ringBuckets {
		r.newest = number - ringBuckets - 1
	}
	for r.newest < number {
		r.newest++
		r.buckets[ringIndex(r.newest)].good = 0
		r.buckets[ringIndex(r.newest)].total = 0
	}
}

func (r *ring) add(now time.Time, bucket time.Duration, good bool) {
	number := now.UnixNano() / int64(bucket)
	r.advance(number)
	b := &r.buckets[ringIndex(r.newest)]
	b.total++
	if good {
		b.good++
	}
}

// counts returns the buckets as of now, oldest first.
func (r *ring) counts(now time.Time, bucket time.Duration) []Count {
	r.advance(now.UnixNano() / int64(bucket))
	out := make([]Count, 0, len(r.buckets))
	for n := r.newest - ringBuckets; n <= r.newest; n++ {
		b := r.buckets[ringIndex(n)]
		out = append(out, Count{int64(b.good), int64(b.total)})
	}
	return out
}
