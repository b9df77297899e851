// Package process is the command line of the load generator: it runs a load.Run,
// or with --overhead a load.Overhead, from its flags.
package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/command"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/load"
	"berylswitch.example/berylswitch/internal/site"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// options are the command-line flags.
type options struct {
	Overhead bool   `long:"overhead" description:"run a host and a stand-in in this process and measure what the host adds"`
	Stages   int    `long:"stages" description:"stages of the pipeline of --overhead" default:"1"`
	Requests int    `long:"requests" description:"requests of --overhead while processor time is measured" default:"20000"`
	Workers  int    `long:"workers" description:"requests of --overhead at once while processor time is measured" default:"4"`
	Seed     uint64 `long:"seed" description:"seed of arrivals and work" default:"1"`

	Hosts     []string      `long:"host" description:"caller address of a host; repeat for more"`
	Targets   []string      `long:"target" description:"address of a stand-in whose counts are checked; repeat for more"`
	Workspace string        `long:"workspace" default:"Demo"`
	Pipeline  string        `long:"pipeline" default:"Menu"`
	Token     string        `long:"token" description:"token of the workspace"`
	Keys      bool          `long:"keys" description:"give each request an idempotency key"`
	Repeat    int           `long:"repeat-every" description:"send each nth request again, with its key"`
	Deadline  time.Duration `long:"deadline" default:"6s"`

	Rate         float64       `long:"rate" description:"arrivals a second" default:"200"`
	For          time.Duration `long:"for" description:"length of the run" default:"5s"`
	Max          int           `long:"max" description:"most requests; zero is the program's own limit"`
	PeakFactor   float64       `long:"crest" description:"factor of the rate at the crest; zero is a steady rate"`
	PeakStart    time.Duration `long:"crest-at" description:"start of the crest" default:"2s"`
	PeakDuration time.Duration `long:"crest-for" description:"length of the crest" default:"1s"`

	Service    time.Duration `long:"service" description:"median time of work on a target of speed one" default:"5ms"`
	Tokens     int           `long:"tokens" description:"median number of generated tokens" default:"8"`
	Sigma      float64       `long:"sigma" description:"spread of the work" default:"0.5"`
	LongShare  float64       `long:"long-share" description:"share of long work" default:"0.02"`
	LongFactor float64       `long:"long-factor" description:"factor of long work" default:"20"`
	Prefixes   int           `long:"prefixes" description:"prompt prefixes in use" default:"16"`
}

// Main runs the load that the command line describes and exits, with 1 if a
// request was lost, run twice, answered with another request's work or falsely
// refused.
func Main() {
	var o options
	command.Main("berylload", &o, func(ctx context.Context) error { return run(ctx, &o) })
}

func run(ctx context.Context, o *options) error {
	if o.Overhead {
		return overhead(ctx, o)
	}
	hosts, err := parseAddrs("--host", o.Hosts)
	if err != nil {
		return err
	}
	targets, err := parseAddrs("--target", o.Targets)
	if err != nil {
		return err
	}
	r := &load.Run{
		Net: link.TCP{}, Clock: &clock.Service{}, Hosts: hosts, Targets: targets,
		Workspace: o.Workspace, Pipeline: o.Pipeline, Token: o.Token,
		Keys: o.Keys, RepeatEvery: o.Repeat, Deadline: o.Deadline, Seed: o.Seed,
		Arrivals: load.Arrivals{Rate: o.Rate, Duration: o.For, Max: o.Max, Shape: o.shape()},
		Work: load.Work{ServiceTime: o.Service, Tokens: o.Tokens, Sigma: o.Sigma,
			LongShare: o.LongShare, LongFactor: o.LongFactor, Prefixes: o.Prefixes},
	}
	s, err := r.Do(ctx)
	if err != nil {
		return err
	}
	s.Write(os.Stdout)
	return s.Fault()
}

func (o *options) shape() load.Shape {
	if o.PeakFactor == 0 {
		return load.Steady{}
	}
	return load.Peak{Factor: o.PeakFactor, Start: o.PeakStart, Duration: o.PeakDuration}
}

func parseAddrs(flag string, texts []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", flag, err)
		}
		out = append(out, addr)
	}
	return out, nil
}

// overheadSlots exceeds the number of concurrent requests.
const overheadSlots = 4096

// overhead starts a host in front of one stand-in and compares the two paths.
func overhead(ctx context.Context, o *options) error {
	command.TuneCollector(host.SoftMemoryBytes) // as serve does
	worker := &standin.Worker{Speed: 1, Slots: overheadSlots}
	p := declaration.Pipeline{Name: "Overhead", Deadline: declaration.Duration(o.Deadline)}
	for i := range o.Stages {
		p.Stages = append(p.Stages, declaration.Stage{Name: fmt.Sprint("s", i+1), Pool: "Workers"})
	}
	s := &site.Site{
		Hosts: 1, Log: &standin.Log{}, HostList: &standin.HostList{},
		Workspaces: []declaration.Workspace{{Name: "Load"}},
		Pipelines:  []declaration.Pipeline{p},
		Pools:      []site.Pool{{Pool: declaration.Pool{Name: "Workers"}, Targets: []http.Handler{worker}}},
	}
	if err := s.Start(ctx); err != nil {
		return errors.Join(err, s.Stop())
	}
	c, err := (&load.Overhead{
		Net: link.TCP{}, Clock: &clock.Service{}, Host: s.Callers[0], Target: s.Targets[0].Addr,
		Workspace: "Load", Pipeline: p.Name, Stages: o.Stages,
		Rate: o.Rate, Duration: o.For, Requests: o.Requests, Workers: o.Workers, Rounds: overheadRounds, Seed: o.Seed,
	}).Do(ctx)
	if err == nil {
		c.Write(os.Stdout)
	}
	return errors.Join(err, s.Stop())
}

// overheadRounds is the number of rounds in which the two paths alternate.
const overheadRounds = 5
