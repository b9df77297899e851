// Berylswitch serves multi-stage model pipelines. See the README for its
// subcommands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// subcommand describes a subcommand; the flag parser calls Execute of its data.
type subcommand struct {
	name, short string
	data        any
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "berylswitch"
	commands := []subcommand{
		{"config", "Check, publish and show the declared document", newConfigCommand(ctx)},
		{"call", "Send a request and print its answer", &callCommand{ctx: ctx}},
		{"serve", "Run a host", &serveCommand{ctx: ctx}},
		{"gateway", "Run a host on the users' platform", &gatewayCommand{ctx: ctx}},
		{"explain", "Show the timeline of one request from the logs of hosts", &explainCommand{}},
		{"report", "Show service-level burn and cost by stage", &reportCommand{ctx: ctx}},
		{"try", "Run stand-ins and two hosts in this process and send requests", &tryCommand{ctx: ctx}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			panic(err)
		}
	}
	os.Exit(exitCode(p.Parse))
}

// exitUsage is the exit code for an invalid command line.
const exitUsage = 2

func exitCode(parse func() ([]string, error)) int {
	_, err := parse()
	var usage *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(os.Stderr, "berylswitch:", err)
		return exit.code
	default:
		fmt.Fprintln(os.Stderr, "berylswitch:", err)
		return 1
	}
}
