package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// The decisions of this file answer callers outside our control: those that connect
// without end, that stop within a body, and that don't read their answers.

const (
	// minStallTime is the time without a byte after which a body counts as stalled. It exceeds the usual retransmission times of TCP.
	minStallTime = time.Second
	// minUnreadTime is the same for a response. The kernel of a caller acknowledges bytes
	// only when it has handed over a part of its buffer, which takes a slow caller seconds.
	minUnreadTime = 10 * time.Second
	// lastLookTime is the time of the last attempt to read or write when a time limit has
	// passed: a process that was frozen finds bytes that came meanwhile.
	lastLookTime = 100 * time.Millisecond
	// writePieceBytes is the size of the pieces in which a response is written. Each piece
	// must make progress within the limit on pauses.
	writePieceBytes = 64 << 10
)

// callerConns are the open connections of callers. It bounds their number, and ends
// those that have stalled when something is short. Exported fields must be set before
// the first connection.
type callerConns struct {
	Clock   *clock.Service
	Log     *zap.Logger
	Metrics metrics.Registry
	// Max is the maximum number of connections.
	Max int
	// WritePause is the longest time for which a caller takes no byte of a response.
	WritePause time.Duration
	// Headers is the memory for headers with more than usualHeaderLines lines.
	Headers *memory.Budget

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// admit returns the connection that represents c, or nil if there are too many and none
// of them is idle or has stalled. c is closed then.
func (s *callerConns) admit(c net.Conn) net.Conn {
	conn := &callerConn{Conn: c, conns: s, readAt: s.Clock.Now(), headerMemory: s.Headers.NewAllowance()}
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
	delete(s.conns, c)
}

// longestStalled returns the connection that has been idle or stalled longest, of those
// that fit, or nil. Connections that have never brought a complete request come first:
// a crowd must not displace the idle connections of callers that have been served.
func (s *callerConns) longestStalled(fits func(*callerConn) bool) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var victim *callerConn
	var longest stall
	for c := range s.conns {
		if at, ok := c.stall(now); ok && fits(c) && (victim == nil || at.before(longest)) {
			victim, longest = c, at
		}
	}
	return victim
}

// endPausedBody ends the body that has paused longest of those that hold memory of the
// given part, and reports whether there was one.
func (s *callerConns) endPausedBody(part bodyPart) bool {
	victim := s.longestStalled(func(c *callerConn) bool { return c.receives(part) })
	return victim != nil && victim.endBodyFor(bodyEvicted)
}

// endUnreadResponse disconnects the caller that has read nothing for longest of those to
// which a large response is being written, and reports whether there was one.
func (s *callerConns) endUnreadResponse() bool {
	victim := s.longestStalled((*callerConn).holdsResponse)
	if victim == nil {
		return false
	}
	metrics.GetOrRegisterCounter("Responses.Evicted", s.Metrics).Inc(1)
	s.Log.Warn("unread response ended for another one", zap.Stringer("Caller", victim.RemoteAddr()), zap.Duration("Stalled", victim.stalledFor()))
	victim.reset()
	return true
}

// connState is what a connection is being used for, apart from writing.
type connState int

const (
	// awaitsRequest means that no complete head of a request has arrived.
	awaitsRequest connState = iota
	// receivesBody means that the caller sends a body.
	receivesBody
	// servesRequest means that the caller waits for the host.
	servesRequest
)

var connStateNames = [...]string{"awaits request", "receives body", "serves request"}

// String returns the name of s for logs.
func (s connState) String() string { return connStateNames[s] }

// bodyEnd is the reason for which the host has ended a body.
type bodyEnd int

const (
	bodyNotEnded bodyEnd = iota
	// bodyPaused means that no byte came for the longest allowed time.
	bodyPaused
	// bodyLate means that it was not complete at the end of its time.
	bodyLate
	// bodyEvicted means that its memory was needed.
	bodyEvicted
)

// callerConn is a connection of a caller. It limits the pauses of the bodies that it
// brings and of the responses that it takes.
type callerConn struct {
	net.Conn
	conns *callerConns

	mu    sync.Mutex
	state connState
	// served is set once a complete request has come.
	served bool
	// readAt and wroteAt are the times of the last progress in each direction; wroteAt is
	// valid if writing is set.
	readAt, wroteAt time.Time
	writing         bool
	// largeResponse is set while a response is written that holds counted memory.
	largeResponse bool
	closed        bool
	// header follows the head of the next request, headerMemory is what its lines take.
	header       headLines
	headerMemory *memory.Allowance

	// The following fields are those of the body that is being received.
	part      bodyPart
	bodyPause time.Duration
	bodyUntil time.Time
	end       bodyEnd
	// lastLook is set after the time of the body is over.
	lastLook bool
}

type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the servers for callers.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of r.
func callerConnOf(r *http.Request) (*callerConn, error) {
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		return c, nil
	}
	return nil, fmt.Errorf("no connection is known for the request")
}

// stall is the duty of a connection to be ended: the one before others goes first.
type stall struct {
	served bool
	since  time.Time
}

func (s stall) before(other stall) bool {
	if s.served != other.served {
		return other.served
	}
	return s.since.Before(other.since)
}

// stall returns since when c is idle or has stalled, or false if it is in use.
func (c *callerConn) stall(now time.Time) (stall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := stall{c.served, c.readAt}
	if c.writing {
		at.since = c.wroteAt
	}
	switch {
	case c.closed || c.end != bodyNotEnded:
		return at, false
	case c.writing:
		return at, now.Sub(at.since) >= minUnreadTime
	case c.state == receivesBody:
		return at, now.Sub(at.since) >= minStallTime
	default:
		return at, c.state == awaitsRequest
	}
}

func (c *callerConn) stalledFor() time.Duration {
	now := c.conns.Clock.Now()
	at, _ := c.stall(now)
	return now.Sub(at.since)
}

func (c *callerConn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *callerConn) receives(part bodyPart) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == receivesBody && c.part == part
}

func (c *callerConn) holdsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing && c.largeResponse
}

func (c *callerConn) setLargeResponse(large bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.largeResponse = large
}

// beginRequest notes that the head of r has arrived. A body must bring bytes within each
// pause and end until the given time.
func (c *callerConn) beginRequest(r *http.Request, pause time.Duration, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end, c.lastLook, c.part = bodyNotEnded, false, noBody
	if r.Body == http.NoBody {
		c.state, c.served = servesRequest, true
		return
	}
	c.state = receivesBody
	c.readAt = c.conns.Clock.Now()
	c.bodyPause, c.bodyUntil = pause, until
	c.setReadLimit(c.nextLook())
}

// limitBody lowers the end of the time of the body.
func (c *callerConn) limitBody(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == receivesBody && until.Before(c.bodyUntil) {
		c.bodyUntil = until
		c.setReadLimit(c.nextLook())
	}
}

// setPart notes which part of the memory for bodies the body holds.
func (c *callerConn) setPart(p bodyPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part = p
}

// endBody notes that the body has been read, or that reading it has failed, and returns
// the reason for which the host has ended it, if it has.
func (c *callerConn) endBody(complete bool) bodyEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = servesRequest
	if complete {
		// A body that was complete when it was to be ended is not ended.
		c.end, c.served = bodyNotEnded, true
	}
	return c.end
}

// endRequest notes that the request has been answered.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.end, c.largeResponse = awaitsRequest, bodyNotEnded, false
	c.readAt = c.conns.Clock.Now()
	c.header = headLines{}
	c.headerMemory.Release()
}

// endBodyFor ends the body that is being received.
func (c *callerConn) endBodyFor(reason bodyEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != receivesBody || c.end != bodyNotEnded {
		return false
	}
	c.end = reason
	c.setReadLimit(c.conns.Clock.Now().Add(-time.Second))
	return true
}

// stopReading makes all further reads fail, so that the rest of a refused request takes
// no time and no memory.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadLimit(c.conns.Clock.Now().Add(-time.Second))
}

// setReadLimit sets the time at which a waiting Read returns; c.mu is held.
func (c *callerConn) setReadLimit(at time.Time) {
	// An error means that the connection is closed, which the next Read reports.
	_ = c.Conn.SetReadDeadline(at)
}

// nextLook returns the time at which the body is to be ended if no byte comes; c.mu is
// held.
func (c *callerConn) nextLook() time.Time {
	if at := c.readAt.Add(c.bodyPause); at.Before(c.bodyUntil) {
		return at
	}
	return c.bodyUntil
}

// Read reads from the caller, within the limits on the pauses and the time of a body.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			if !c.countRead(b[:n]) {
				return 0, errHeaderMemory
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendRead() {
			return n, err
		}
	}
}

// Memory of a header: net/http makes a map of its lines, which takes many times the bytes
// of short lines.
const (
	// usualHeaderLines is the number of lines for which the memory of the connection
	// suffices; headerLineBytes is that of each further line.
	usualHeaderLines = 128
	headerLineBytes  = 160
)

// errHeaderMemory means that there is no memory for the lines of a header.
var errHeaderMemory = errors.New("no memory is left for a header with so many lines")

// countRead notes that b was read, and reports whether there is memory for its lines if
// it may belong to a header.
func (c *callerConn) countRead(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt, c.lastLook = c.conns.Clock.Now(), false
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

// headLines counts the lines of one head, and not those of the body that follows.
type headLines struct {
	lines int
	// lineBytes is the size of the present line without line ends.
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

// extendRead is called when the limit of a Read has passed, which is that of an earlier
// byte. It sets the present one, or notes why the body ends and returns false.
func (c *callerConn) extendRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != receivesBody || c.end != bodyNotEnded {
		return false
	}
	now := c.conns.Clock.Now()
	next := c.nextLook()
	switch {
	case next.After(now):
		c.setReadLimit(next)
		return true
	case !c.lastLook:
		c.lastLook = true
		c.setReadLimit(now.Add(lastLookTime))
		return true
	case !c.bodyUntil.After(now):
		c.end = bodyLate
	default:
		c.end = bodyPaused
	}
	return false
}

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

// reset closes the connection at once; what is unsent is dropped.
func (c *callerConn) reset() {
	if c.markClosed() {
		// An error means that it is closed already.
		_ = link.Reset(c.Conn)
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	if !c.markClosed() {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// markClosed reports whether c was open, and removes it.
func (c *callerConn) markClosed() bool {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.headerMemory.Release()
	c.mu.Unlock()
	c.conns.remove(c)
	return !was
}

// CloseWrite closes the sending side, if the connection has sides. The server of
// net/http closes so after a refusal, and gives the caller time to read it.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
