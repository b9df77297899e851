package gateway

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// writePieceBytes is the size of the pieces in which a response is written. Pauses are
// limited for each piece.
const writePieceBytes = 64 << 10

// Write writes to the caller. It fails once the caller has taken no byte for the longest
// allowed time; a caller that reads slowly but steadily gets all.
func (c *callerConn) Write(b []byte) (int, error) {
	w := &limitedWriter{c: c, unsent: -1}
	c.setWriting(true)
	defer c.setWriting(false)
	total := 0
	for total < len(b) {
		n, err := w.write(b[total:min(len(b), total+writePieceBytes)])
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func (c *callerConn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
	c.wroteAt = c.conns.Clock.Now()
}

// limitedWriter writes the pieces of one response to a caller, and fails after a pause of
// WritePause.
type limitedWriter struct {
	c *callerConn
	// unsent is the number of bytes that the kernel's queue last had, or -1 if it is
	// unknown.
	unsent       int
	finalAttempt bool
}

// write writes b, or as much of it as fits until the caller has paused for too long.
func (w *limitedWriter) write(b []byte) (int, error) {
	total := 0
	wait := min(w.c.conns.WritePause, unsentPollInterval)
	for {
		// An error means that the connection is closed, which Write reports.
		_ = w.c.Conn.SetWriteDeadline(w.c.conns.Clock.Now().Add(wait))
		n, err := w.c.Conn.Write(b[total:])
		total += n
		if n > 0 || w.takesBytes() {
			w.c.setWriting(true)
			w.finalAttempt = false
		}
		if total == len(b) || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		switch paused := w.c.stalledFor(); {
		case paused < w.c.conns.WritePause:
			wait = min(w.c.conns.WritePause-paused, unsentPollInterval)
		case !w.finalAttempt:
			wait, w.finalAttempt = finalAttemptTime, true
		default:
			w.c.countUnread(paused)
			return total, err
		}
	}
}

// unsentPollInterval is the interval at which the kernel's queue is checked while it accepts
// no bytes. It accepts some again only when much of it has been sent, which can take longer
// than the allowed pause though the caller reads steadily.
const unsentPollInterval = time.Second

// takesBytes reports whether the caller has taken bytes from the kernel's queue since
// the last call.
func (w *limitedWriter) takesBytes() bool {
	before := w.unsent
	w.unsent = unsentBytes(w.c.Conn)
	return before >= 0 && w.unsent < before
}

// unsentBytes returns the number of bytes in the kernel's queue that the peer of c has not
// acknowledged, or -1 if it is unknown.
func unsentBytes(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	if err := raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	}); err != nil {
		return -1
	}
	return n
}

// countUnread counts and logs a caller that is disconnected because it reads nothing.
func (c *callerConn) countUnread(paused time.Duration) {
	metrics.GetOrRegisterCounter("Responses.Unread", c.conns.Metrics).Inc(1)
	c.conns.Log.Warn("caller reads nothing", zap.Stringer("Caller", c.RemoteAddr()), zap.Duration("Stalled", paused))
}
