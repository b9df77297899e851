package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
)

// maxKeys bounds the keys for which a target counts runs. Runs of further keys
// are counted in TargetStatus.Uncounted only.
const maxKeys = 1 << 20

// defaultRestart is the time that a crashed target is down by default.
const defaultRestart = 2 * time.Second

// AnswerFault is a fault in the answers of a target.
type AnswerFault string

// The answer faults.
const (
	// OutOfOrder swaps adjacent pieces.
	OutOfOrder AnswerFault = "OutOfOrder"
	// Doubled sends each piece twice.
	Doubled AnswerFault = "Doubled"
	// Foreign sends pieces with the attempt ID of another run.
	Foreign AnswerFault = "Foreign"
	// Truncated ends the answer without the last piece, which has the end mark.
	Truncated AnswerFault = "Truncated"
	// Garbled sends an invalid JSON line before each piece.
	Garbled AnswerFault = "Garbled"
)

// TargetFaults are the faults that a target can inject.
type TargetFaults struct {
	// Down breaks every connection.
	Down bool
	// Slow divides the speed; zero means one.
	Slow float64
	// Frozen stops all work until the fault is cleared. New runs are still
	// accepted.
	Frozen bool
	// AnswerDelay is the time that a finished answer waits before it is sent.
	AnswerDelay time.Duration
	// Answers is the fault in the answers. With AnswersEvery set, only each nth
	// answer has it.
	Answers      AnswerFault
	AnswersEvery int
	// Fail answers each run with a failure, without doing its work.
	Fail bool
	// Restart is the time that a target is down after a crash; zero means two
	// seconds.
	Restart time.Duration
}

// TargetControl is the control message of a target. Crash crashes the target
// immediately.
type TargetControl struct {
	Faults TargetFaults
	Crash  bool `json:",omitempty"`
}

// TargetStatus is a target's answer at its control path.
type TargetStatus struct {
	Name        string
	Incarnation string
	Crashes     int
	// Runs counts the runs that started, by CountKey: the idempotency key, or the
	// request ID and stage for runs without a key.
	Runs map[string]int
	// Uncounted counts the runs left out of Runs because of its size limit.
	Uncounted int `json:",omitempty"`
}

// targetState is the state that all targets share: faults, incarnation and
// counts.
type targetState struct {
	// OnCrash, unless nil, is called when the target crashes, with the time that
	// the target stays down. It is set before the first request.
	OnCrash func(down time.Duration)

	mu            sync.Mutex
	faults        TargetFaults
	faultsChanged chan struct{} // closed when the faults change
	crashed       chan struct{} // closed when the target crashes
	crashes       int
	downUntil     time.Time
	runs          map[string]int
	uncounted     int
	answerCount   int
	lastAttemptID string // attempt ID of the previous run
}

// init prepares the channels and the map. The caller holds t.mu.
func (t *targetState) init() {
	if t.faultsChanged == nil {
		t.faultsChanged = make(chan struct{})
		t.crashed = make(chan struct{})
		t.runs = map[string]int{}
	}
}

// SetFaults replaces the faults.
func (t *targetState) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
}

// Crash breaks all connections and starts the next incarnation. The target is down
// for TargetFaults.Restart.
func (t *targetState) Crash() {
	t.mu.Lock()
	t.init()
	down := t.faults.Restart
	if down == 0 {
		down = defaultRestart
	}
	t.crashes++
	t.downUntil = time.Now().Add(down)
	close(t.crashed)
	t.crashed = make(chan struct{})
	f := t.OnCrash
	t.mu.Unlock()
	if f != nil {
		f(down)
	}
}

// Incarnation returns the number of the current incarnation, counted from one.
func (t *targetState) Incarnation() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation()
}

// incarnation is Incarnation for callers that hold t.mu.
func (t *targetState) incarnation() string { return strconv.Itoa(t.crashes + 1) }

// Runs returns the number of runs started for each CountKey.
func (t *targetState) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for k, n := range t.runs {
		out[k] = n
	}
	return out
}

// CountKey returns the key under which a target counts run: the idempotency key,
// or the request ID and stage if it has none.
func CountKey(run *contract.Run) string {
	if run.Key != "" {
		return run.Key
	}
	return run.RequestID + "/" + run.Stage
}

// countRun counts the start of a run.
func (t *targetState) countRun(run *contract.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	key := CountKey(run)
	if len(t.runs) >= maxKeys && t.runs[key] == 0 {
		t.uncounted++
		return
	}
	t.runs[key]++
}

// currentFaults returns the faults in force, with Down set while the target is
// down after a crash, and the channels that are closed when the faults change and
// when the target crashes.
func (t *targetState) currentFaults() (f TargetFaults, changed, crashed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	f = t.faults
	if time.Now().Before(t.downUntil) {
		f.Down = true
	}
	return f, t.faultsChanged, t.crashed
}

// effectiveSpeed returns the speed with the faults applied; zero when frozen.
func (f *TargetFaults) effectiveSpeed(speed float64) float64 {
	switch {
	case f.Frozen:
		return 0
	case speed <= 0:
		speed = 1
	}
	if f.Slow > 0 {
		return speed / f.Slow
	}
	return speed
}

// simulateWork waits as long as a target of this speed needs for work that takes d
// at speed one, and follows changes of the faults meanwhile. It returns false if
// done is closed or the target crashes before the end.
func (t *targetState) simulateWork(d time.Duration, speed float64, done <-chan struct{}) bool {
	for d > 0 {
		f, changed, crashed := t.currentFaults()
		rate := f.effectiveSpeed(speed)
		var end <-chan struct{}
		stop := func() {}
		if rate > 0 {
			end, stop = clock.Timer(time.Duration(float64(d) / rate))
		}
		start := time.Now()
		select {
		case <-end:
			return true
		case <-changed:
			d -= time.Duration(float64(time.Since(start)) * rate)
		case <-crashed:
			return false
		case <-done:
			stop()
			return false
		}
		stop()
	}
	return true
}

// serveControl handles a control message.
func (t *targetState) serveControl(w http.ResponseWriter, r *http.Request, name string) {
	if r.Method == http.MethodPost {
		var m TargetControl
		if !readJSON(w, r, maxControlBytes, &m) {
			return
		}
		t.SetFaults(m.Faults)
		if m.Crash {
			t.Crash()
		}
	}
	writeJSON(w, t.status(name))
}

func (t *targetState) status(name string) TargetStatus {
	runs := t.Runs()
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetStatus{Name: name, Incarnation: t.incarnation(), Crashes: t.crashes, Runs: runs, Uncounted: t.uncounted}
}
