package claim

import (
	"context"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
)

// readWait is how long one read of the log waits for a record, readPause the
// time between reads that failed.
const (
	readWait  = 10 * time.Second
	readPause = 500 * time.Millisecond
)

// readResult is the end of one read.
type readResult struct {
	batch platform.Batch
	err   error
}

// read passes the stream to the partition's goroutine, from the start of the
// window on, until ctx ends.
func (p *partition) read(ctx context.Context) {
	next, wait := platform.Offset(0), time.Duration(0)
	for ctx.Err() == nil {
		p.clock.Now() // waits while the host is suspended
		r := readResult{}
		if next == 0 {
			next, r.err = p.start(ctx)
		}
		if r.err == nil {
			r.batch, r.err = p.log.Read(ctx, p.stream, next, wait)
		}
		if r.err == nil {
			next = following(r.batch, next)
			wait = waitFor(r.batch, next)
		}
		select {
		case p.reads <- r:
		case <-ctx.Done():
			return
		}
		if r.err != nil {
			p.clock.Sleep(ctx, readPause)
		}
	}
}

// waitFor returns how long the next read waits: not at all while more records
// are there to be read.
func waitFor(b platform.Batch, next platform.Offset) time.Duration {
	if next < b.Next {
		return 0
	}
	return readWait
}

// following returns the offset after a batch that was read from next on.
func following(b platform.Batch, next platform.Offset) platform.Offset {
	if n := len(b.Records); n > 0 {
		return b.Records[n-1].Offset + 1
	}
	return max(next, b.Next)
}

// start finds an offset before every record that can still matter. Times are
// those of the log service alone: what is older than the window by the newest
// record's time is older by the time of any record to come.
func (p *partition) start(ctx context.Context) (platform.Offset, error) {
	b, err := p.log.Read(ctx, p.stream, 1, 0)
	if err != nil || b.Next <= b.Oldest+1 {
		return max(b.Oldest, 1), err
	}
	low, high := b.Oldest, b.Next-1
	b, err = p.log.Read(ctx, p.stream, high, 0)
	if err != nil || len(b.Records) == 0 {
		return low, err
	}
	from := b.Records[0].At.Add(-Window - 2*MaxSkew)
	for low < high {
		mid := low + (high-low)/2
		b, err = p.log.Read(ctx, p.stream, mid, 0)
		if err != nil || len(b.Records) == 0 {
			return low, err
		}
		if b.Records[0].At.Before(from) {
			low = max(mid+1, b.Records[0].Offset)
		} else {
			high = mid
		}
	}
	return low, nil
}
