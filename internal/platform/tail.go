package platform

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// tailReadWait is how long one read waits for a record; tailRetryDelay is the
// pause after a failed read.
const (
	tailReadWait   = 10 * time.Second
	tailRetryDelay = 500 * time.Millisecond
)

// Tail follows a stream whose older records no longer matter. Exported fields
// are set before Run.
type Tail struct {
	Log    Log
	Clock  *clock.Service
	Stream string
	// MaxAge is the age, relative to the newest record, up to which records
	// matter.
	MaxAge time.Duration
	// Reads receives the result of each read, in order.
	Reads chan<- TailRead
}

// TailRead is the result of one read of a Tail.
type TailRead struct {
	Batch Batch
	Err   error
}

// Run sends the stream to Reads, from before the oldest record that matters on,
// until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	next, wait := Offset(0), time.Duration(0)
	for ctx.Err() == nil {
		t.Clock.Now() // blocks while the host is suspended
		var r TailRead
		if next == 0 {
			next, r.Err = t.findStart(ctx)
		}
		if r.Err == nil {
			r.Batch, r.Err = t.Log.Read(ctx, t.Stream, next, wait)
		}
		if r.Err == nil {
			next = nextOffset(r.Batch, next)
			wait = readWait(r.Batch, next)
		}
		select {
		case t.Reads <- r:
		case <-ctx.Done():
			return
		}
		if r.Err != nil {
			t.Clock.Sleep(ctx, tailRetryDelay)
		}
	}
}

// readWait returns how long the next read waits: not at all if more records can
// be read at once.
func readWait(b Batch, next Offset) time.Duration {
	if next < b.Next {
		return 0
	}
	return tailReadWait
}

// nextOffset returns the offset after a batch that was read from next on.
func nextOffset(b Batch, next Offset) Offset {
	if n := len(b.Records); n > 0 {
		return b.Records[n-1].Offset + 1
	}
	return max(next, b.Next)
}

// findStart finds, by binary search, an offset before every record that can
// still matter. It compares only times of the log service: a record that is too
// old relative to the newest record is also too old relative to any later one.
func (t *Tail) findStart(ctx context.Context) (Offset, error) {
	b, err := t.Log.Read(ctx, t.Stream, 1, 0)
	if err != nil {
		return 0, err
	}
	low, high := max(b.Oldest, 1), b.Next-1
	if high <= low {
		return low, nil
	}
	b, err = t.Log.Read(ctx, t.Stream, high, 0)
	if err != nil {
		return 0, err
	}
	if len(b.Records) == 0 {
		return low, nil
	}
	from := b.Records[0].At.Add(-t.MaxAge)
	for low < high {
		mid := low + (high-low)/2
		b, err = t.Log.Read(ctx, t.Stream, mid, 0)
		if err != nil {
			return 0, err
		}
		if len(b.Records) == 0 {
			return low, nil
		}
		if b.Records[0].At.Before(from) {
			low = max(mid+1, b.Records[0].Offset)
		} else {
			high = mid
		}
	}
	return low, nil
}
