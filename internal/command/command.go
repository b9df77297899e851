// Package command runs the program of a command line of one set of options.
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

// The exit codes of a program.
const (
	// ExitFailed is the exit code when the work failed.
	ExitFailed = 1
	// ExitUsage is the exit code for a command line that can't be understood.
	ExitUsage = 2
)

// Main parses the command line into options, a pointer to a struct with flag
// tags, and calls run with a context that ends on SIGINT or SIGTERM. It exits
// with ExitUsage, with ExitFailed after run's error, or with zero.
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
