package stage

import (
	"net/netip"
	"time"
)

// worker is what the former knows of one target of a pool.
type worker struct {
	addr  netip.AddrPort
	calls int
	// pace is the time of recent calls over the expected time.
	pace        float64
	failures    int
	pausedUntil time.Time
	lastUsed    time.Time

	// reserved is the size of the results that running calls will make, held
	// that of the results that lie at the target, both in bytes.
	reserved, held int64
	results        map[string]heldResult

	// free are the handles to free from freeAt on.
	free   []string
	freeAt time.Time
}

type heldResult struct {
	bytes int64
	until time.Time
}

// used is the room taken at the target in bytes.
func (w *worker) used() int64 { return w.reserved + w.held }

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
	w.failures = 0
	w.pace += paceWeight * (float64(took)/float64(expected) - w.pace)
}

// rejected pauses a target that had no place for a call.
func (w *worker) rejected(now time.Time) { w.pause(now, rejectPause) }

// full pauses a target that had no room for results.
func (w *worker) full(now time.Time) { w.pause(now, roomPause) }

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
