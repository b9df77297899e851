// Berylswitch serves multi-stage model pipelines. See the README for its
// subcommands.
package main

import (
	"errors"
	"fmt"
	"os"

	"berylswitch.example/berylswitch/internal/command"
	"github.com/jessevdk/go-flags"
)

// subcommand describes a subcommand; the flag parser calls Execute of its data.
type subcommand struct {
	name, short string
	data        any
}

func main() {
	signals := command.CatchSignals()
	ctx := signals.Stop
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "berylswitch"
	commands := []subcommand{
		{"config", "Check, publish and show the declared document", newConfigCommand(ctx)},
		{"call", "Send a request and print its answer", &callCommand{ctx: ctx}},
		{"serve", "Run a host", &serveCommand{signals: signals}},
		{"gateway", "Run a host on the users' platform", &gatewayCommand{signals: signals}},
		{"explain", "Show the timeline of one request from the logs of hosts", &explainCommand{}},
		{"report", "Show service-level burn and cost by stage", &reportCommand{ctx: ctx}},
		{"try", "Run stand-ins and two hosts in this process and send requests", &tryCommand{ctx: ctx}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			panic(err)
		}
	}
	p.CommandHandler = execute
	os.Exit(exitCode(p.Parse))
}

// server is implemented by the subcommands that serve callers until they are told to
// stop.
type server interface {
	flags.Commander
	isServer()
}

// execute runs the chosen subcommand.
func execute(c flags.Commander, args []string) error {
	if c == nil {
		return nil
	}
	if _, ok := c.(server); !ok {
		command.ReleaseSignals()
	}
	return c.Execute(args)
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
