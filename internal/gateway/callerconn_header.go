package gateway

import (
	"errors"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Memory of a header: net/http stores its lines in a map, which takes many times the bytes
// of short lines.
const (
	// usualHeaderLines is the number of lines that the memory assumed for each connection
	// covers; headerLineBytes is the memory of each further line.
	usualHeaderLines = 128
	headerLineBytes  = 160
)

// errHeaderMemory means that there is no memory for the lines of a header.
var errHeaderMemory = errors.New("no memory is left for a header with so many lines")

// countRead records that b was read. If b may belong to a header, it reports whether there
// is memory for the lines.
func (c *callerConn) countRead(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt, c.finalAttempt = c.conns.Clock.Now(), false
	if c.state != awaitsRequest || c.closed {
		return true
	}
	before := max(c.header.lines, usualHeaderLines)
	c.header.count(b)
	if c.header.lines <= before || c.headerMemory.Take(int64(c.header.lines-before)*headerLineBytes) {
		return true
	}
	metrics.GetOrRegisterCounter("Connections.HeaderMemory", c.conns.Metrics).Inc(1)
	c.conns.Log.Warn("no memory for a header", zap.Stringer("Caller", c.RemoteAddr()), zap.Int("Lines", c.header.lines))
	return false
}

// headLines counts the lines of one head but not those of the body that follows.
type headLines struct {
	lines int
	// lineBytes is the size of the current line without its end.
	lineBytes int
	// ended is set once the empty line at the end of the head has come.
	ended bool
}

// count counts the lines that end in b.
func (h *headLines) count(b []byte) {
	for _, ch := range b {
		switch {
		case h.ended:
			return
		case ch == '\n':
			h.ended = h.lineBytes == 0 && h.lines > 0
			h.lines++
			h.lineBytes = 0
		case ch != '\r':
			h.lineBytes++
		}
	}
}
