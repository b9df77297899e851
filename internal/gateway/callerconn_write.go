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

// writePieceBytes is the size of the pieces in which a response is written. Each piece
// must make progress within the limit on pauses.
const writePieceBytes = 64 << 10

// Write writes to the caller. It fails once the caller has taken no byte for the longest
// allowed time; a caller that reads slowly but steadily gets all.
func (c *callerConn) Write(b []byte) (int, error) {
	w := &pausingWriter{c: c, unsent: -1}
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

// pausingWriter writes one piece after the other.
type pausingWriter struct {
	c *callerConn
	// unsent is the number of bytes in the kernel's queue at the last look, or -1.
	unsent   int
	lastLook bool
}

// write writes b, or as much of it as fits until the caller has paused for too long.
func (w *pausingWriter) write(b []byte) (int, error) {
	total := 0
	wait := min(w.c.conns.WritePause, writeLookTime)
	for {
		// An error means that the connection is closed, which Write reports.
		_ = w.c.Conn.SetWriteDeadline(w.c.conns.Clock.Now().Add(wait))
		n, err := w.c.Conn.Write(b[total:])
		total += n
		if n > 0 || w.takesBytes() {
			w.c.setWriting(true)
			w.lastLook = false
		}
		if total == len(b) || !errors.Is(err, os.ErrDeadlineExceeded) {
			return total, err
		}
		switch paused := w.c.stalledFor(); {
		case paused < w.c.conns.WritePause:
			wait = min(w.c.conns.WritePause-paused, writeLookTime)
		case !w.lastLook:
			wait, w.lastLook = lastLookTime, true
		default:
			w.c.countUnread(paused)
			return total, err
		}
	}
}

// writeLookTime is the time between two looks at what a caller takes while it takes
// nothing from the process: the kernel accepts bytes again only when much of its queue
// has been sent, which can take a slow caller longer than the allowed pause.
const writeLookTime = time.Second

// takesBytes reports whether the caller has taken bytes from the kernel's queue since
// the last call.
func (w *pausingWriter) takesBytes() bool {
	before := w.unsent
	w.unsent = unsentBytes(w.c.Conn)
	return before >= 0 && w.unsent < before
}

// unsentBytes returns the number of bytes in the kernel's queue that c's other side has
// not acknowledged, or -1 if it is unknown.
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

// countUnread counts a caller that is disconnected since it reads nothing.
func (c *callerConn) countUnread(paused time.Duration) {
	metrics.GetOrRegisterCounter("Responses.Unread", c.conns.Metrics).Inc(1)
	c.conns.Log.Warn("caller reads nothing", zap.Stringer("Caller", c.RemoteAddr()), zap.Duration("Stalled", paused))
}
