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
func (w *targetState) usedBytes(now time.Time) int64 {
	return w.reservedBytes + w.heldBytes + w.foreignBytesAt(now)
}

// others is the room that results of other formers take.
func (w *targetState) foreignBytesAt(now time.Time) int64 {
	left := w.foreignLifetime - now.Sub(w.foreignAt)
	if w.foreignBytes <= 0 || left <= 0 {
		return 0
	}
	return int64(float64(w.foreignBytes) * float64(left) / float64(w.foreignLifetime))
}

func (w *targetState) addResult(handle string, bytes int64, until time.Time) {
	if w.results == nil {
		w.results = map[string]heldResult{}
	}
	w.results[handle] = heldResult{bytes, until}
	w.heldBytes += bytes
}

func (w *targetState) removeResult(handle string) {
	if r, ok := w.results[handle]; ok {
		delete(w.results, handle)
		w.heldBytes -= r.bytes
	}
}

func (w *targetState) succeeded(took, expected time.Duration) {
	w.failures, w.rejections = 0, 0
	w.pace += paceWeight * (float64(took)/float64(expected) - w.pace)
}

// rejected pauses a target that had no place for a call, longer each time in a
// row: another former must be calling it too.
func (w *targetState) rejected(now time.Time) {
	w.pause(now, rejectPause<<min(w.rejections, maxRejectDoubling))
	w.rejections++
}

// full pauses a target that had no room for a result of so many bytes: when the
// call began, others must have used what this former didn't.
func (w *targetState) memoryFull(now time.Time, c *call, bytes int64, life time.Duration) {
	w.pause(now, memoryPause)
	if others := c.freeBytes - bytes/2; others > w.foreignBytesAt(now) {
		w.foreignBytes, w.foreignAt, w.foreignLifetime = others, c.startedAt, life
	}
}

// freed takes a result's room back.
func (w *targetState) resultFreed(r Result, now time.Time) {
	if _, ok := w.results[r.Handle]; ok {
		w.removeResult(r.Handle)
		return
	}
	if others := w.foreignBytesAt(now); others > 0 {
		w.foreignBytes, w.foreignAt, w.foreignLifetime = max(0, others-r.Bytes), now, w.foreignLifetime-now.Sub(w.foreignAt)
	}
}

// failed pauses a target, longer after each failure in a row.
func (w *targetState) failed(now time.Time) {
	pause := min(maxFailPause, failPause<<min(w.failures, 4))
	w.failures++
	w.pause(now, pause)
}

func (w *targetState) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// idleSince returns how long the target was unused; zero while it is in use.
func (w *targetState) idleTime(now time.Time) time.Duration {
	if w.calls > 0 || len(w.toFree) > 0 || len(w.results) > 0 || w.lastUsed.IsZero() {
		return 0
	}
	return now.Sub(w.lastUsed)
}
