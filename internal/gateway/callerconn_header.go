package gateway

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Memory of a header: net/http stores its lines in a map, which takes many times the bytes
// of short lines.
const (
	// usualHeaderLines is the number of lines that the memory assumed for each connection
	// covers; headerLineBytes is the memory of each further line. The map of net/http takes
	// up to 119 bytes a line, and the copy that is sent to a target up to 115.
	usualHeaderLines = 128
	headerLineBytes  = 240
	// meanLineBytes is the mean size of the lines of a header that consists of as many
	// lines with different names as possible.
	meanLineBytes = 5
	// headerSlackBytes is what net/http reads of a head beyond its limit.
	headerSlackBytes = 4 << 10
)

// errHeaderMemory means that there is no memory for the lines of a header.
var errHeaderMemory = errors.New("no memory is left for a header with so many lines")

// countRead records that b was read. If b may belong to a header, it reports whether there
// is memory for the lines, if need be after a wait.
func (c *callerConn) countRead(b []byte) bool {
	n := c.countLines(b)
	if n <= 0 {
		return true
	}
	start := c.conns.Clock.Now()
	// The lock is not held, as Take waits.
	ok := c.headerMemory.Take(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ok && c.closed:
		c.headerMemory.Release()
		return true
	case ok:
		c.extendHeaderLimit(c.conns.Clock.Since(start))
		return true
	}
	metrics.GetOrRegisterCounter("Connections.HeaderMemory", c.conns.Metrics).Inc(1)
	c.conns.Log.Warn("no memory for a header", zap.Stringer("Caller", c.RemoteAddr()), zap.Int("Lines", c.header.lines))
	return false
}

// countLines counts the lines of the head in b, and returns how much memory the head needs
// beyond what it has.
func (c *callerConn) countLines(b []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt, c.finalAttempt = c.conns.Clock.Now(), false
	if c.state != awaitsRequest || c.closed {
		return 0
	}
	c.header.count(b)
	needs := c.header.memory(c.conns.HeaderLimit.Load(), c.conns.Headers.Bytes)
	if c.header.ended && needs < c.headerMemory.Taken() {
		c.headerMemory.Return(c.headerMemory.Taken() - needs)
	}
	return needs - c.headerMemory.Taken()
}

// extendHeaderLimit extends the time limit on the header by the time for which the host has
// not read it; c.mu is held.
func (c *callerConn) extendHeaderLimit(waited time.Duration) {
	if waited > 0 && !c.readLimit.IsZero() {
		c.setReadLimit(c.readLimit.Add(waited))
	}
}

// SetReadDeadline sets the time at which a waiting Read returns. The server of net/http
// limits the time for a header by it.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLimit = at
	return c.Conn.SetReadDeadline(at)
}

// headLines counts the lines of one head but not those of the body that follows.
type headLines struct {
	lines int
	// bytes is the size of the head so far.
	bytes int64
	// lineBytes is the size of the current line without its end.
	lineBytes int
	// ended is set once the empty line at the end of the head has come.
	ended bool
}

// count counts the lines that end in b.
func (h *headLines) count(b []byte) {
	for _, ch := range b {
		if h.ended {
			return
		}
		h.bytes++
		switch {
		case ch == '\n':
			h.ended = h.lineBytes == 0 && h.lines > 0
			h.lines++
			h.lineBytes = 0
		case ch != '\r':
			h.lineBytes++
		}
	}
}

// memory returns the memory that the head takes beyond what is assumed for each connection.
// For a head with many lines that has not ended, this is the memory of all lines that it may
// still have within limit bytes, but at most the given maximum: heads that took their memory
// in parts could wait for each other.
func (h *headLines) memory(limit, most int64) int64 {
	lines := int64(h.lines)
	if lines <= usualHeaderLines {
		return 0
	}
	needs := (lines - usualHeaderLines) * headerLineBytes
	if h.ended {
		return needs
	}
	left := max(0, limit+headerSlackBytes-h.bytes) / meanLineBytes
	return max(needs, min(most, needs+left*headerLineBytes))
}
