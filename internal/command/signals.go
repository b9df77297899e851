package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals holds what a process is told by signals.
type Signals struct {
	// Stop is done after the first SIGINT or SIGTERM.
	Stop context.Context
	// Reload receives a value after SIGHUP. Several signals may become one value.
	Reload <-chan os.Signal
}

// CatchSignals catches the signals of a server until the process exits. It must be
// the first call of main: by their default actions SIGHUP, and SIGPIPE after a write
// to a standard output that nobody reads, end the process with all its requests.
func CatchSignals() Signals {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	// The signals stay caught, so that a second one doesn't cut the shutdown short.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return Signals{Stop: ctx, Reload: hangups}
}

// ReleaseSignals gives SIGHUP and SIGPIPE back their default actions, for a command
// that serves nobody and ends with its terminal or with the reader of its output.
func ReleaseSignals() { signal.Reset(syscall.SIGHUP, syscall.SIGPIPE) }
