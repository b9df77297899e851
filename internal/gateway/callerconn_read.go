package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"berylswitch.example/berylswitch/internal/memory"
)

// bodyEnd is the reason for which the host has ended a body.
type bodyEnd int

const (
	bodyNotEnded bodyEnd = iota
	// bodyPaused means that no byte came for the longest allowed time.
	bodyPaused
	// bodyLate means that the body was not complete by its deadline.
	bodyLate
	// bodyEvicted means that the memory of the body was needed for another one.
	bodyEvicted
)

// beginRequest records that the head of r has arrived. No pause within a body may be longer
// than the given one, and the body must be complete by the given time.
func (c *callerConn) beginRequest(r *http.Request, pause time.Duration, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end, c.finalAttempt, c.part, c.bodyMemory = bodyNotEnded, false, noBody, nil
	if r.Body == http.NoBody {
		c.state, c.served = servesRequest, true
		return
	}
	c.state = receivesBody
	c.readAt = c.conns.Clock.Now()
	c.bodyPause, c.bodyUntil = pause, until
	c.setReadLimit(c.bodyDeadline())
}

// limitBody sets the deadline of the body to the given time, unless it is earlier already.
func (c *callerConn) limitBody(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == receivesBody && until.Before(c.bodyUntil) {
		c.bodyUntil = until
		c.setReadLimit(c.bodyDeadline())
	}
}

// setPart records which part of the memory for bodies the body holds, and its allowance.
func (c *callerConn) setPart(p bodyPart, a *memory.Allowance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part, c.bodyMemory = p, a
}

// endBody records that the body has been read, or that reading it has failed, and returns
// the reason for which the host has ended it, if it has.
func (c *callerConn) endBody(complete bool) bodyEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = servesRequest
	if complete {
		// A body that was complete when it was to be ended is not ended.
		if c.end == bodyEvicted {
			c.bodyMemory.Keep()
		}
		c.end, c.served = bodyNotEnded, true
	}
	return c.end
}

// endRequest records that the request has been answered.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.end, c.response = awaitsRequest, bodyNotEnded, nil
	c.readAt = c.conns.Clock.Now()
	c.header = headLines{}
	c.headerMemory.Release()
}

// evictBody ends the body that is being received and returns its allowance, or nil if it
// has ended.
func (c *callerConn) evictBody() *memory.Allowance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != receivesBody || c.end != bodyNotEnded {
		return nil
	}
	c.end = bodyEvicted
	c.setReadLimit(c.conns.Clock.Now().Add(-time.Second))
	return c.bodyMemory
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

// bodyDeadline returns the time at which the body is to be ended if no further byte comes;
// c.mu is held.
func (c *callerConn) bodyDeadline() time.Time {
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

// extendRead is called when the read deadline has passed. Bytes that came after it was set
// may allow a later one. extendRead sets that, or records why the body ends and returns
// false.
func (c *callerConn) extendRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != receivesBody || c.end != bodyNotEnded {
		return false
	}
	now := c.conns.Clock.Now()
	next := c.bodyDeadline()
	switch {
	case next.After(now):
		c.setReadLimit(next)
		return true
	case !c.finalAttempt:
		c.finalAttempt = true
		c.setReadLimit(now.Add(finalAttemptTime))
		return true
	case !c.bodyUntil.After(now):
		c.end = bodyLate
	default:
		c.end = bodyPaused
	}
	return false
}
