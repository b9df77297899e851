// Package journal writes and reads the structured log of a process: one JSON
// object a line.
//
// A Writer buffers lines and never blocks its caller on a slow output; lines
// that do not fit into the buffer are dropped and counted, and the count is
// logged once the output accepts lines again. A Timeline collects the lines of
// one request from the logs of several hosts.
package journal

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the log.
const (
	// bufferLines is the number of lines that may wait to be written.
	bufferLines = 4096
	// sampleFirst is the number of lines with the same message that are kept in
	// a second; of the lines beyond it, one in sampleThereafter is kept.
	sampleFirst      = 200
	sampleThereafter = 100
	// closeTimeout bounds the time to write the queued lines at the end. It fits into the
	// part of a host's grace period that is reserved for the exit of the process.
	closeTimeout = 300 * time.Millisecond
)

// Writer passes lines on to a slower writer without blocking the caller.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	done      chan struct{}
}

// NewWriter returns a Writer to out. It runs a goroutine that Close stops.
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

// Sync does nothing; queued lines are written in the background. It is part of
// zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines and stops the Writer. It gives up after closeTimeout, so
// that a process whose output accepts nothing can exit.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() {
		late, stop := clock.Timer(closeTimeout)
		defer stop()
		// A nil line stops the writer; lines written later are dropped.
		select {
		case w.lines <- nil:
		case <-late:
			return
		}
		select {
		case <-w.done:
		case <-late:
		}
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
		// A write error is ignored: there is nowhere else to report it.
		w.out.Write(line)
	}
}

// NewLogger returns a logger that writes to w. Repeated messages are sampled.
func NewLogger(w *Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, zapcore.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter))
}

// Error returns the log field for err: its message on one line. Zap's own field
// adds the stack trace of the error's origin, which would make up most of the
// log.
func Error(err error) zap.Field {
	return zap.String("error", strings.ReplaceAll(err.Error(), "\n", ": "))
}
