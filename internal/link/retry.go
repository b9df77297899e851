package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

const (
	// acceptRetryInterval is the time between an error of a listener and the next
	// attempt.
	acceptRetryInterval = 50 * time.Millisecond
	// failingTime is how long a listener counts as failing after an error: the next
	// attempt may wait for a connection.
	failingTime = 500 * time.Millisecond
)

// RetryListener is a listener whose Accept goes on after errors that pass, such as a
// lack of descriptors, until it is closed. Exported fields must be set before the first
// Accept.
type RetryListener struct {
	net.Listener
	Clock *clock.Service
	Log   *zap.Logger

	failing  atomic.Bool
	failedAt atomic.Pointer[time.Time]
}

// Accept returns the next connection. Its only error is net.ErrClosed.
func (l *RetryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if l.failing.Swap(false) {
				l.Log.Info("connections are accepted again", zap.Stringer("Addr", l.Addr()))
			}
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		now := l.Clock.Now()
		l.failedAt.Store(&now)
		if !l.failing.Swap(true) {
			l.Log.Error("cannot accept connections", zap.Stringer("Addr", l.Addr()), zap.String("error", err.Error()))
		}
		l.Clock.Sleep(context.Background(), acceptRetryInterval)
	}
}

// Failing reports whether the last attempts to accept a connection failed.
func (l *RetryListener) Failing() bool {
	at := l.failedAt.Load()
	return l.failing.Load() && at != nil && l.Clock.Since(*at) < failingTime
}
