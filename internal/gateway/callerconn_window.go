package gateway

import (
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/settings"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// The load pattern of this file: large uploads over long links, which the small receive
// buffer of each connection would make slow, beside callers that fill any buffer they get.

// windowBytes is what a connection with a wide receive buffer can hold unread beyond what the
// limit on connections counts for each.
var windowBytes = settings.BodyReceiveBuffer.MostUnread() - settings.CallerReceiveBuffer.MostUnread()

// widen gives c a wide receive buffer for a body of up to size bytes, if the memory for
// large bodies has room for both. The memory stays taken until c is closed: the caller may
// fill the buffer at any time from now on.
func (c *callerConn) widen(large *memory.Budget, size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.window != nil {
		return
	}
	window := large.NewAllowance()
	if !window.TakeSpare(windowBytes, size) {
		return
	}
	c.window = window
	if err := link.Widen(c.Conn, settings.BodyReceiveBuffer); err != nil {
		c.conns.Log.Info("receive buffer not widened", zap.Stringer("Caller", c.RemoteAddr()), journal.Error(err))
	}
}

// holdsWindow reports whether c has a wide receive buffer.
func (c *callerConn) holdsWindow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.window != nil
}

// releaseWindow returns the memory of the wide receive buffer; c.mu is held and c is closed.
func (c *callerConn) releaseWindow() {
	if c.window != nil {
		c.window.Release()
	}
}

// endIdleWindow disconnects the caller that has been idle or stalled longest of those with a
// wide receive buffer. It returns the memory of the buffer, or nil if there was none.
func (s *callerConns) endIdleWindow() *memory.Allowance {
	victim := s.longestStalled((*callerConn).holdsWindow)
	if victim == nil {
		return nil
	}
	metrics.GetOrRegisterCounter("Connections.Closed", s.Metrics).Inc(1)
	s.Log.Warn("connection closed for the memory of its receive buffer", zap.Stringer("Caller", victim.RemoteAddr()),
		zap.Stringer("State", victim.currentState()), zap.Duration("Stalled", victim.stalledFor()))
	victim.reset()
	return victim.window
}
