// Package journal writes the structured log of a process: one JSON object a
// line. A writer never waits for its reader; what does not fit into its buffer
// is dropped and counted, and the count is logged once there is room.
package journal

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the log.
const (
	// bufferLines is the number of lines that wait to be written.
	bufferLines = 4096
	// perSecond is the number of lines with the same message that are kept in a
	// second; of those beyond it every hundredth is.
	sampleFirst      = 200
	sampleThereafter = 100
)

// Writer passes lines on to a slower writer without ever waiting for it.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	done      chan struct{}
}

// NewWriter returns a Writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of b, or counts it as dropped. It never fails.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing; lines are written as they come.
func (w *Writer) Sync() error { return nil }

// Close writes what is queued.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() {
		// A nil line ends the writer; lines that come later are dropped.
		w.lines <- nil
		<-w.done
	})
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"Lines\":%d}\n", n)
		}
		// There is nobody to tell of an output that can't be written.
		w.out.Write(line)
	}
}

// NewLogger returns a logger to w.
func NewLogger(w *Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, zapcore.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter))
}

// Error is the field for an error: its message on one line. Zap's own adds the
// stack of the error's origin, which would be most of the log.
func Error(err error) zap.Field {
	return zap.String("error", strings.ReplaceAll(err.Error(), "\n", ": "))
}
