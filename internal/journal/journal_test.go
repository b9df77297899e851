package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
)

// stuck is an output that takes nothing until it is freed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// TestNeverBlocks logs far more than fits while the output takes nothing.
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

// TestBounded logs the same message more often than a second's share.
func TestBounded(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	log := NewLogger(w)
	for range 10 * sampleFirst {
		log.Info("again", zap.Error(errors.New("x")))
	}
	w.Close()
	if n := bytes.Count(buf.Bytes(), []byte("\n")); n > 2*(sampleFirst+10*sampleFirst/sampleThereafter) {
		t.Errorf("%d lines", n)
	}
}

// TestStory runs testdata/story: the lines of a log and what is told of a
// request.
func TestTimeline(t *testing.T) {
	datadriven.RunTest(t, "testdata/story", func(t *testing.T, d *datadriven.TestData) string {
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

// FuzzReadLines feeds any bytes to the reader of logs.
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
