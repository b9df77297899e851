package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
)

// blockedWriter is an output that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// TestNeverBlocks logs more lines than the buffer holds while the output blocks.
// Logging must stay fast, and lost lines must be counted.
func TestNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	log := NewLogger(w)
	start := time.Now()
	for i := range 3 * bufferLines {
		log.Info(fmt.Sprint("line ", i))
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("logging took %v", took)
	}
	close(out.unblock)
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if dropped := w.dropped.Load(); dropped == 0 && !strings.Contains(out.buf.String(), "log lines dropped") {
		t.Error("no line was counted as dropped")
	}
}

// TestCloseOfBlockedOutput closes writers whose output accepts nothing, one with a full
// buffer. Close waited for the output, so that the process didn't exit.
func TestCloseOfBlockedOutput(t *testing.T) {
	for _, lines := range []int{1, bufferLines + 2} {
		synctest.Test(t, func(t *testing.T) {
			out := &blockedWriter{unblock: make(chan struct{})}
			w := NewWriter(out)
			for range lines {
				io.WriteString(w, "x\n")
			}
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				w.Close()
			}()
			time.Sleep(closeTimeout + time.Millisecond)
			select {
			case <-closed:
			default:
				t.Errorf("Close still waits after %v, with %d lines", closeTimeout, lines)
			}
			close(out.unblock)
			synctest.Wait()
			w.lines <- nil // ends the goroutine if Close could not
		})
	}
}

// TestSampling logs one message more often than the sampling rate allows and
// checks that most of the lines are left out.
func TestSampling(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	log := NewLogger(w)
	for range 10 * sampleFirst {
		log.Info("again", zap.Error(errors.New("x")))
	}
	w.Close()
	if n := bytes.Count(buf.Bytes(), []byte("\n")); n > 2*(sampleFirst+10*sampleFirst/sampleThereafter) {
		t.Errorf("%d lines were kept", n)
	}
}

// TestTimeline runs testdata/timeline: the lines of a log and the timeline of a
// request.
func TestTimeline(t *testing.T) {
	datadriven.RunTest(t, "testdata/timeline", func(t *testing.T, d *datadriven.TestData) string {
		var id string
		d.ScanArgs(t, "id", &id)
		lines, skipped, err := ReadLines(strings.NewReader(d.Input))
		if err != nil {
			t.Fatal(err)
		}
		var b strings.Builder
		fmt.Fprintf(&b, "%d skipped\n", skipped)
		if err := NewTimeline(id, lines).WriteText(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	})
}

// FuzzReadLines feeds arbitrary bytes to ReadLines and checks that a timeline
// of what it parses can be written.
func FuzzReadLines(f *testing.F) {
	f.Add([]byte(`x {"level":"info","ts":"2026-01-01T00:00:00Z","msg":"m","Host":"h","RequestID":"r"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		lines, _, err := ReadLines(bytes.NewReader(b))
		if err != nil {
			return
		}
		if err := NewTimeline("r", lines).WriteText(io.Discard); err != nil {
			t.Error(err)
		}
	})
}
