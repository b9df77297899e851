package stage

import (
	"time"
)

// worker is what the former knows of one target of a pool.
type targetState struct {
	calls int
	// pace is the time of recent calls over the expected time.
	pace        float64
	failures    int
	rejections  int
	pausedUntil time.Time
	lastUsed    time.Time

	// reserved is the size of the results that running calls will make, held
	// that of the results that lie at the target, both in bytes.
	reservedBytes, heldBytes int64
	results                  map[string]heldResult
	// foreign is the size of results that another former had made, as a lack of
	// room has shown it at foreignAt; it shrinks to nothing over foreignLife.
	foreignBytes    int64
	foreignAt       time.Time
	foreignLifetime time.Duration

	// free are the results to free with the next call.
	toFree []Result
}

type heldResult struct {
	bytes   int64
	expires time.Time
}

// used is the room taken at the target in bytes.
func (s *targetState) usedBytes(now time.Time) int64 {
	return s.reservedBytes + s.heldBytes + s.foreignBytesAt(now)
}

// others is the room that results of other formers take.
func (s *targetState) foreignBytesAt(now time.Time) int64 {
	left := s.foreignLifetime - now.Sub(s.foreignAt)
	if s.foreignBytes <= 0 || left <= 0 {
		return 0
	}
	return int64(float64(s.foreignBytes) * float64(left) / float64(s.foreignLifetime))
}

func (s *targetState) addResult(handle string, bytes int64, until time.Time) {
	if s.results == nil {
		s.results = map[string]heldResult{}
	}
	s.results[handle] = heldResult{bytes, until}
	s.heldBytes += bytes
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

// rejected pauses a target that had no place for a call, longer each time in a
// row: another former must be calling it too.
func (s *targetState) rejected(now time.Time) {
	s.pause(now, rejectPause<<min(s.rejections, maxRejectDoubling))
	s.rejections++
}

// full pauses a target that had no room for a result of so many bytes: when the
// call began, others must have used what this former didn't.
func (s *targetState) memoryFull(now time.Time, c *call, bytes int64, life time.Duration) {
	s.pause(now, memoryPause)
	if others := c.freeBytes - bytes/2; others > s.foreignBytesAt(now) {
		s.foreignBytes, s.foreignAt, s.foreignLifetime = others, c.startedAt, life
	}
}

// freed takes a result's room back.
func (s *targetState) resultFreed(r Result, now time.Time) {
	if _, ok := s.results[r.Handle]; ok {
		s.removeResult(r.Handle)
		return
	}
	if others := s.foreignBytesAt(now); others > 0 {
		s.foreignBytes, s.foreignAt, s.foreignLifetime = max(0, others-r.Bytes), now, s.foreignLifetime-now.Sub(s.foreignAt)
	}
}

// failed pauses a target, longer after each failure in a row.
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

// idleSince returns how long the target was unused; zero while it is in use.
func (s *targetState) idleTime(now time.Time) time.Duration {
	if s.calls > 0 || len(s.toFree) > 0 || len(s.results) > 0 || s.lastUsed.IsZero() {
		return 0
	}
	return now.Sub(s.lastUsed)
}
