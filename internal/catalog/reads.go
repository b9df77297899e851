package catalog

import (
	"context"
	"errors"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// readTimeout bounds a read beyond its requested wait.
const readTimeout = 700 * time.Millisecond

// streamReads makes the reads of one stream, one after another. It logs when they
// begin to fail and when they succeed again.
type streamReads struct {
	log  *zap.Logger
	name string
	// wait is how long the next read waits for a change.
	wait     time.Duration
	failures int
}

// readOutcome is the outcome of one read.
type readOutcome int

const (
	// readDone means that the read succeeded.
	readDone readOutcome = iota
	// readHung means that a read which waited for a change got no response at all. Its
	// connection may have gone silent for good, so that a read at once, over a new one,
	// takes less time than asking peers over connections that may be silent too.
	readHung
	// readFailed means that the store can't be read now.
	readFailed
	// readEnded means that the stream is no longer read.
	readEnded
)

// try makes one read. After a read that wasn't done, the next one doesn't wait.
func (r *streamReads) try(ctx context.Context, read func(context.Context) error) readOutcome {
	callCtx, cancel := context.WithTimeout(ctx, r.wait+readTimeout)
	err := read(callCtx)
	cancel()
	if ctx.Err() != nil {
		return readEnded
	}
	r.record(err)
	switch {
	case err == nil:
		return readDone
	case hung(err, r.wait):
		r.wait = 0
		return readHung
	default:
		r.wait = 0
		return readFailed
	}
}

// record logs the outcome of a read if it differs from the one before.
func (r *streamReads) record(err error) {
	switch {
	case err != nil && r.failures == 0:
		r.log.Warn("dependency lost", zap.String("Dependency", r.name), journal.Error(err))
	case err == nil && r.failures > 0:
		r.log.Info("dependency regained", zap.String("Dependency", r.name), zap.Int("Failures", r.failures))
	}
	if err == nil {
		r.failures = 0
	} else {
		r.failures++
	}
}

// hung reports whether a read or poll that waited for a change got no response at all.
func hung(err error, wait time.Duration) bool {
	return wait > 0 && errors.Is(err, context.DeadlineExceeded)
}
