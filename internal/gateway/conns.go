package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// The limits on connections protect a host from callers that open connections without
// end, that stop within a body, or that don't read their responses.

// callerConns holds the open connections of callers. It bounds their number, and ends
// stalled ones when connections or memory run short. Exported fields must be set before
// the first connection.
type callerConns struct {
	Clock   *clock.Service
	Log     *zap.Logger
	Metrics metrics.Registry
	// Max is the maximum number of connections.
	Max int
	// WritePause is the longest time for which a caller takes no byte of a response.
	WritePause time.Duration
	// Headers bounds the memory for header lines beyond usualHeaderLines a request.
	Headers *memory.Budget
	// HeaderLimit is the maximum size of a head in bytes.
	HeaderLimit atomic.Int64

	mu      sync.Mutex
	conns   map[*callerConn]struct{}
	sources link.Sources
}

// admit returns the connection that represents c, or nil if there are too many and none
// of them is idle or has stalled. c is closed then.
func (s *callerConns) admit(c net.Conn) net.Conn {
	conn := &callerConn{Conn: c, conns: s, source: link.SourceOf(c), readAt: s.Clock.Now(), headerMemory: s.Headers.NewAllowance()}
	if !s.makeRoom() {
		metrics.GetOrRegisterCounter("Connections.Refused", s.Metrics).Inc(1)
		s.Log.Warn("connection refused", zap.Stringer("Caller", c.RemoteAddr()), zap.Int("Max", s.Max))
		link.Reset(c)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*callerConn]struct{}{}
	}
	s.conns[conn] = struct{}{}
	s.sources.Add(conn.source)
	return conn
}

// makeRoom closes a connection if there are too many, and reports whether there is room
// for another one.
func (s *callerConns) makeRoom() bool {
	if s.count() < s.Max {
		return true
	}
	victim := s.longestStalled(func(*callerConn) bool { return true })
	if victim == nil {
		return false
	}
	metrics.GetOrRegisterCounter("Connections.Closed", s.Metrics).Inc(1)
	s.Log.Warn("connection closed for another one", zap.Stringer("Caller", victim.RemoteAddr()), zap.Stringer("State", victim.currentState()),
		zap.Duration("Stalled", victim.stalledFor()), zap.Int("Max", s.Max))
	victim.reset()
	return true
}

func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		s.sources.Remove(c.source)
	}
}

// longestStalled returns the connection that has been idle or stalled longest, of those
// that fit, or nil. Connections of the source with the largest excess come first, then those
// that have never brought a complete request: many new connections must not displace the idle
// ones of callers that have been served.
func (s *callerConns) longestStalled(fits func(*callerConn) bool) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var victim *callerConn
	var longest stall
	for c := range s.conns {
		at, ok := c.stall(now)
		at.excess = s.sources.Excess(c.source, s.Max)
		if ok && fits(c) && (victim == nil || at.before(longest)) {
			victim, longest = c, at
		}
	}
	return victim
}

// endPausedBody ends the body that has paused longest of those that hold memory of the
// given part. It returns the body's allowance, or nil if there was none.
func (s *callerConns) endPausedBody(part bodyPart) *memory.Allowance {
	victim := s.longestStalled(func(c *callerConn) bool { return c.receives(part) })
	if victim == nil {
		return nil
	}
	return victim.evictBody()
}

// endUnreadResponse disconnects the caller that has read nothing for longest of those to
// which a large response is being written. It returns the response's allowance, or nil if
// there was none.
func (s *callerConns) endUnreadResponse() *memory.Allowance {
	victim := s.longestStalled((*callerConn).holdsResponse)
	if victim == nil {
		return nil
	}
	// A response that has been written meanwhile has no allowance.
	a := victim.responseMemory()
	if a == nil {
		return nil
	}
	metrics.GetOrRegisterCounter("Responses.Evicted", s.Metrics).Inc(1)
	s.Log.Warn("unread response ended for another one", zap.Stringer("Caller", victim.RemoteAddr()), zap.Duration("Stalled", victim.stalledFor()))
	victim.reset()
	return a
}
