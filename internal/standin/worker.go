package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// Worker is a member of a stage pool or a plain service: it runs up to Slots
// attempts at once, each for its service time divided by Speed. Exported
// fields are set before the first request.
type Worker struct {
	Name  string
	Speed float64
	Slots int

	mu      sync.Mutex
	slots   chan struct{}
	runs    map[string]int // by key, or by request ID without one
	slowed  float64        // the factor of SetSlowdown, zero for none
	changed chan struct{}  // closed when slowed changes
}

// SetSlowdown makes runs, those under way included, take factor times as long;
// one is the worker's own speed.
func (w *Worker) SetSlowdown(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowed = factor
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// rate returns the present speed and a channel that is closed when it changes.
func (w *Worker) rate() (float64, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	if w.slowed == 0 {
		return w.Speed, w.changed
	}
	return w.Speed / w.slowed, w.changed
}

// work spends service, the time at speed one, or returns when r is cancelled.
func (w *Worker) work(r *http.Request, service time.Duration) {
	for service > 0 && r.Context().Err() == nil {
		speed, changed := w.rate()
		start := time.Now()
		t := time.NewTimer(time.Duration(float64(service) / speed))
		select {
		case <-t.C:
			return
		case <-changed:
		case <-r.Context().Done():
		}
		t.Stop()
		service -= time.Duration(float64(time.Since(start)) * speed)
	}
}

// Runs returns how often each key, or request without key, was run.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for k, n := range w.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP runs an attempt.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var run contract.Run
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	var work contract.Work
	json.Unmarshal(run.Input, &work)
	slots := w.count(&run)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-r.Context().Done():
		return
	}
	start := time.Now()
	w.work(r, work.ServiceOf(run.Stage))
	text := strings.TrimSpace(work.Previous + " " + w.Name + "(" + run.Stage + ": " + work.Text + ")")
	enc := json.NewEncoder(rw)
	enc.Encode(contract.Piece{AttemptID: run.AttemptID, Data: text})
	enc.Encode(contract.Piece{AttemptID: run.AttemptID, Seq: 1, End: true, Cost: time.Since(start)})
}

func (w *Worker) count(run *contract.Run) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[string]int{}
		w.slots = make(chan struct{}, w.Slots)
	}
	id := run.Key
	if id == "" {
		id = run.RequestID
	}
	w.runs[id]++
	return w.slots
}
