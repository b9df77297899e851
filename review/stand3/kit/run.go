package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// Run is one run of a case. Its record goes to record.txt in the folder of the case.
type Run struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	begun time.Time
	dir   string

	mu       sync.Mutex
	file     *os.File
	breaches int
	cleanups []func()
}

// Main runs a case and exits with its result.
func Main(f func(r *Run)) {
	dir := os.Getenv("CASE_DIR")
	if dir == "" {
		dir = "."
	}
	file, err := os.Create(dir + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), dir: temp, file: file}
	r.Cleanup(func() { os.RemoveAll(temp) })
	r.Logf("trouble %v", r.Trouble)
	f(r)
	r.mu.Lock()
	breaches := r.breaches
	r.mu.Unlock()
	if breaches > 0 {
		r.Logf("the rule was broken %d times", breaches)
		r.exit(exitBroken)
	}
	r.Logf("the rule held")
	r.exit(exitHeld)
}

// Logf writes a line with the time since the start to the record.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// Breach records that the rule was broken.
func (r *Run) Breach(format string, args ...any) {
	r.Logf("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches++
}

// Cannot ends the run, since the case can't be judged.
func (r *Run) Cannot(format string, args ...any) {
	r.Logf("cannot run: "+format, args...)
	r.exit(exitCannot)
}

// Cleanup registers f to be called at the end, in reverse order.
func (r *Run) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

func (r *Run) exit(code int) {
	r.mu.Lock()
	cleanups := r.cleanups
	r.cleanups = nil
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	fmt.Printf("exit %d\n", code)
	os.Exit(code)
}

// Since returns the seconds from the start of the run to t, as the record shows them.
func (r *Run) Since(t time.Time) float64 { return t.Sub(r.begun).Seconds() }
