package report

import "time"

// ringBuckets is the number of buckets of a window. The present, unfinished
// bucket is one of ringBuckets+1 in a ring, so that a window covers its length
// and up to a twelfth more.
const ringBuckets = 12

// window is a length of time over which burn is told.
type window struct {
	length time.Duration
}

func (w window) bucket() time.Duration { return w.length / ringBuckets }

// windows are those of the usual alerts on several windows of different
// lengths.
var windows = [...]window{{5 * time.Minute}, {time.Hour}, {6 * time.Hour}, {72 * time.Hour}}

// Count is a number of requests, and of those that were answered in time.
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

// ring counts requests in the newest buckets of time. A bucket's number is the
// time since the Unix epoch divided by its length, so that the rings of several
// hosts line up.
type ring struct {
	newest  int64
	buckets [ringBuckets + 1]struct{ good, total uint32 }
}

func ringIndex(number int64) int64 { return number % (ringBuckets + 1) }

// advance empties the buckets that have become old.
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

// counts returns the buckets, oldest first.
func (r *ring) counts(now time.Time, bucket time.Duration) []Count {
	r.advance(now.UnixNano() / int64(bucket))
	out := make([]Count, 0, len(r.buckets))
	for n := r.newest - ringBuckets; n <= r.newest; n++ {
		b := r.buckets[ringIndex(n)]
		out = append(out, Count{int64(b.good), int64(b.total)})
	}
	return out
}
