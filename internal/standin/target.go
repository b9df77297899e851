package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
)

// maxKeys bounds the keys that a target counts runs of. Runs of further keys
// are not counted; TargetStatus says so.
const maxKeys = 1 << 20

// defaultRestart is the time that a crashed target is down.
const defaultRestart = 2 * time.Second

// AnswerFault is a way in which a target's answers are wrong.
type AnswerFault string

// The faults of answers.
const (
	// OutOfOrder swaps neighbouring pieces.
	OutOfOrder AnswerFault = "OutOfOrder"
	// Doubled sends each piece twice.
	Doubled AnswerFault = "Doubled"
	// Foreign sends pieces that belong to another attempt.
	Foreign AnswerFault = "Foreign"
	// Truncated ends the answer without its end mark.
	Truncated AnswerFault = "Truncated"
	// Garbled sends a line that is no JSON.
	Garbled AnswerFault = "Garbled"
)

// TargetFaults are the ways in which a target misbehaves.
type TargetFaults struct {
	// Down breaks every connection.
	Down bool
	// Slow divides the speed; zero is one.
	Slow float64
	// Frozen stops all work until the fault is lifted. New runs are taken.
	Frozen bool
	// AnswerDelay is the time that a finished answer waits before it is sent.
	AnswerDelay time.Duration
	// Answers is the fault of the answers; with AnswersEvery only each nth
	// answer has it.
	Answers      AnswerFault
	AnswersEvery int
	// Fail answers each run with a failure before any work.
	Fail bool
	// Restart is the time that a target is down after it crashed; zero is two
	// seconds.
	Restart time.Duration
}

// TargetControl is the message of a target's control path. Crash crashes the
// target now.
type TargetControl struct {
	Faults TargetFaults
	Crash  bool `json:",omitempty"`
}

// TargetStatus is what a target tells at its control path.
type TargetStatus struct {
	Name        string
	Incarnation string
	Crashes     int
	// Runs counts the runs that began, by key, or by request ID and stage for
	// runs without key.
	Runs map[string]int
	// Uncounted counts the runs whose key no longer fitted.
	Uncounted int `json:",omitempty"`
}

// core is what all targets share: faults, incarnation and counts.
type targetState struct {
	// OnCrash, unless nil, is called when the target crashes, with the time that
	// it is down. It is set before the first request.
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
	lastAttemptID string // attempt ID of the run before
}

// init prepares the channels; c.mu is held.
func (c *targetState) init() {
	if c.faultsChanged == nil {
		c.faultsChanged = make(chan struct{})
		c.crashed = make(chan struct{})
		c.runs = map[string]int{}
	}
}

// SetFaults replaces the faults.
func (c *targetState) SetFaults(f TargetFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.faults = f
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// Crash breaks all connections and starts the next incarnation.
func (c *targetState) Crash() {
	c.mu.Lock()
	c.init()
	down := c.faults.Restart
	if down == 0 {
		down = defaultRestart
	}
	c.crashes++
	c.downUntil = time.Now().Add(down)
	close(c.crashed)
	c.crashed = make(chan struct{})
	f := c.OnCrash
	c.mu.Unlock()
	if f != nil {
		f(down)
	}
}

// Incarnation names the present life of the target.
func (c *targetState) Incarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation()
}

// incarnation needs c.mu.
func (c *targetState) incarnation() string { return strconv.Itoa(c.crashes + 1) }

// Runs returns how often each key, or request and stage without key, began to
// run.
func (c *targetState) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, n := range c.runs {
		out[k] = n
	}
	return out
}

// RunID is the name under which a target counts run.
func CountKey(run *contract.Run) string {
	if run.Key != "" {
		return run.Key
	}
	return run.RequestID + "/" + run.Stage
}

// count counts a run that begins.
func (c *targetState) countRun(run *contract.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	id := CountKey(run)
	if len(c.runs) >= maxKeys && c.runs[id] == 0 {
		c.uncounted++
		return
	}
	c.runs[id]++
}

// now returns the present faults and the channels that end or change them.
func (c *targetState) currentFaults() (f TargetFaults, changed, dead <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	f = c.faults
	if time.Now().Before(c.downUntil) {
		f.Down = true
	}
	return f, c.faultsChanged, c.crashed
}

// rate returns the speed under the faults; zero when frozen.
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

// work spends d of a target of speed one. It returns false when done is closed
// or the target crashed before the end.
func (c *targetState) simulateWork(d time.Duration, speed float64, done <-chan struct{}) bool {
	for d > 0 {
		f, changed, dead := c.currentFaults()
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
		case <-dead:
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
func (c *targetState) serveControl(w http.ResponseWriter, r *http.Request, name string) {
	if r.Method == http.MethodPost {
		var m TargetControl
		if !readJSON(w, r, maxControlBytes, &m) {
			return
		}
		c.SetFaults(m.Faults)
		if m.Crash {
			c.Crash()
		}
	}
	writeJSON(w, c.status(name))
}

func (c *targetState) status(name string) TargetStatus {
	runs := c.Runs()
	c.mu.Lock()
	defer c.mu.Unlock()
	return TargetStatus{Name: name, Incarnation: c.incarnation(), Crashes: c.crashes, Runs: runs, Uncounted: c.uncounted}
}
