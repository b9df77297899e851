package stage

import (
	"time"
)

// worker is what the former knows of one target of a pool.
type worker struct {
	calls int
	// pace is the time of recent calls over the expected time.
	pace        float64
	failures    int
	rejections  int
	pausedUntil time.Time
	lastUsed    time.Time

	// reserved is the size of the results that running calls will make, held
	// that of the results that lie at the target, both in bytes.
	reserved, held int64
	results        map[string]heldResult
	// foreign is the size of results that another former had made, as a lack of
	// room has shown it at foreignAt; it shrinks to nothing over foreignLife.
	foreign     int64
	foreignAt   time.Time
	foreignLife time.Duration

	// free are the results to free with the next call.
	free []Result
}

type heldResult struct {
	bytes int64
	until time.Time
}

// used is the room taken at the target in bytes.
func (w *worker) used(now time.Time) int64 { return w.reserved + w.held + w.others(now) }

// others is the room that results of other formers take.
func (w *worker) others(now time.Time) int64 {
	left := w.foreignLife - now.Sub(w.foreignAt)
	if w.foreign <= 0 || left <= 0 {
		return 0
	}
	return int64(float64(w.foreign) * float64(left) / float64(w.foreignLife))
}

func (w *worker) hold(handle string, bytes int64, until time.Time) {
	if w.results == nil {
		w.results = map[string]heldResult{}
	}
	w.results[handle] = heldResult{bytes, until}
	w.held += bytes
}

func (w *worker) forget(handle string) {
	if r, ok := w.results[handle]; ok {
		delete(w.results, handle)
		w.held -= r.bytes
	}
}

func (w *worker) succeeded(took, expected time.Duration) {
	w.failures, w.rejections = 0, 0
	w.pace += paceWeight * (float64(took)/float64(expected) - w.pace)
}

// rejected pauses a target that had no place for a call, longer each time in a
// row: another former must be calling it too.
func (w *worker) rejected(now time.Time) {
	w.pause(now, rejectPause<<min(w.rejections, maxRejectDoubling))
	w.rejections++
}

// full pauses a target that had no room for a result of so many bytes: when the
// call began, others must have used what this former didn't.
func (w *worker) full(now time.Time, c *call, bytes int64, life time.Duration) {
	w.pause(now, roomPause)
	if others := c.room - bytes/2; others > w.others(now) {
		w.foreign, w.foreignAt, w.foreignLife = others, c.begun, life
	}
}

// freed takes a result's room back.
func (w *worker) freed(r Result, now time.Time) {
	if _, ok := w.results[r.Handle]; ok {
		w.forget(r.Handle)
		return
	}
	if others := w.others(now); others > 0 {
		w.foreign, w.foreignAt, w.foreignLife = max(0, others-r.Bytes), now, w.foreignLife-now.Sub(w.foreignAt)
	}
}

// failed pauses a target, longer after each failure in a row.
func (w *worker) failed(now time.Time) {
	pause := min(maxFailPause, failPause<<min(w.failures, 4))
	w.failures++
	w.pause(now, pause)
}

func (w *worker) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// idleSince returns how long the target was unused; zero while it is in use.
func (w *worker) idleSince(now time.Time) time.Duration {
	if w.calls > 0 || len(w.free) > 0 || len(w.results) > 0 || w.lastUsed.IsZero() {
		return 0
	}
	return now.Sub(w.lastUsed)
}
