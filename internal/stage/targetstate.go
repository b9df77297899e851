package stage

import (
	"time"
)

// targetState is the state that a queue keeps of one target of its pool.
type targetState struct {
	calls int
	// pace is the ratio of the actual to the expected time of recent calls.
	pace        float64
	failures    int
	rejections  int
	pausedUntil time.Time
	lastUsed    time.Time
	// busyUntil is the expected end of the last call.
	busyUntil time.Time

	// reservedBytes is the size of the results that running calls will produce,
	// heldBytes the size of the results that the target keeps.
	reservedBytes, heldBytes int64
	results                  map[string]heldResult
	// foreignBytes is the size of the results of other batchers, estimated when
	// the target lacked memory at foreignAt. The estimate decreases to zero over
	// foreignLifetime.
	foreignBytes    int64
	foreignAt       time.Time
	foreignLifetime time.Duration

	// toFree are the results to free with the next call.
	toFree []Result
}

// heldResult is a result that a target keeps, from since until it expires or is freed.
type heldResult struct {
	bytes          int64
	since, expires time.Time
}

// usedBytes returns the result memory in use at the target.
func (s *targetState) usedBytes(now time.Time) int64 {
	return s.reservedBytes + s.heldBytes + s.foreignBytesAt(now)
}

// foreignBytesAt returns the memory that results of other batchers take at now.
func (s *targetState) foreignBytesAt(now time.Time) int64 {
	left := s.foreignLifetime - now.Sub(s.foreignAt)
	if s.foreignBytes <= 0 || left <= 0 {
		return 0
	}
	return int64(float64(s.foreignBytes) * float64(left) / float64(s.foreignLifetime))
}

func (s *targetState) addResult(handle string, r heldResult) {
	if s.results == nil {
		s.results = map[string]heldResult{}
	}
	s.results[handle] = r
	s.heldBytes += r.bytes
}

func (s *targetState) removeResult(handle string) {
	if r, ok := s.results[handle]; ok {
		delete(s.results, handle)
		s.heldBytes -= r.bytes
	}
}

func (s *targetState) succeeded(took, expected time.Duration) {
	s.failures, s.rejections = 0, 0
	s.pace += paceWeight * (float64(took)/float64(expected) - s.pace)
}

// rejected pauses a target that rejected a call, longer after each consecutive
// rejection: another batcher must be calling it too.
func (s *targetState) rejected(now time.Time) {
	s.pause(now, rejectPause<<min(s.rejections, maxRejectDoubling))
	s.rejections++
}

// memoryFull pauses a target that lacked memory for a result of the given size.
// Other batchers must have used the memory that was free by this batcher's
// account when the call started.
func (s *targetState) memoryFull(now time.Time, c *call, bytes int64) {
	s.pause(now, memoryPause)
	if foreign := c.freeBytes - bytes/2; foreign > s.foreignBytesAt(now) {
		s.foreignBytes, s.foreignAt, s.foreignLifetime = foreign, c.startedAt, c.pool.ResultLife
	}
}

// resultFreed releases the memory of a freed result.
func (s *targetState) resultFreed(r Result, now time.Time) {
	if _, ok := s.results[r.Handle]; ok {
		s.removeResult(r.Handle)
		return
	}
	if foreign := s.foreignBytesAt(now); foreign > 0 {
		s.foreignBytes, s.foreignAt, s.foreignLifetime = max(0, foreign-r.Bytes), now, s.foreignLifetime-now.Sub(s.foreignAt)
	}
}

// failed pauses a target, longer after each consecutive failure.
func (s *targetState) failed(now time.Time) {
	pause := min(maxFailPause, failPause<<min(s.failures, 4))
	s.failures++
	s.pause(now, pause)
}

func (s *targetState) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// idleTime returns how long the target has been unused, or zero while it is in
// use.
func (s *targetState) idleTime(now time.Time) time.Duration {
	if s.calls > 0 || len(s.toFree) > 0 || len(s.results) > 0 || s.lastUsed.IsZero() {
		return 0
	}
	return now.Sub(s.lastUsed)
}
