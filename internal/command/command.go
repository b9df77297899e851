// Package command runs a program that has one set of command-line options: Main
// parses them, handles signals and sets the exit code. TuneCollector sets up the
// garbage collector of a server process.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of a program.
const (
	// ExitFailed is the exit code if run fails.
	ExitFailed = 1
	// ExitUsage is the exit code for an invalid command line.
	ExitUsage = 2
)

// Main parses the command line into options, a pointer to a struct with flag
// tags, and calls run with a context that is cancelled on SIGINT or SIGTERM. It
// exits with ExitUsage for an invalid command line, with ExitFailed if run returns
// an error, and with zero otherwise.
func Main(name string, options any, run func(ctx context.Context) error) {
	if _, err := flags.Parse(options); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			os.Exit(0)
		}
		os.Exit(ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(ExitFailed)
	}
	os.Exit(0)
}
