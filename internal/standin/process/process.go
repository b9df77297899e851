// Package process runs a stand-in of package standin as a process of its own. It
// listens on a loopback address only. Faults are set by POST to
// standin.ControlPath.
package process

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/command"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/standin"
)

// options holds the command line options.
type options struct {
	Addr             string        `long:"addr" description:"IP number and port to listen on" default:"127.0.0.1:0"`
	AddrFile         string        `long:"addr-file" description:"file that the address in use is written to"`
	Name             string        `long:"name" description:"name of the target"`
	Speed            float64       `long:"speed" description:"speed of the target" default:"1"`
	Slots            int           `long:"slots" description:"runs that the target takes at once" default:"4"`
	BaseService      time.Duration `long:"service" description:"time that a Worker or Service adds to each run"`
	Models           []string      `long:"model" description:"model that an Engine has loaded; repeat for more"`
	Weights          string        `long:"weights" description:"address of the weight store"`
	ChecksFencing    bool          `long:"checks-fencing" description:"an Engine refuses orders with an old fencing number"`
	Lag              time.Duration `long:"lag" description:"lag of the HostList, or of an Engine's reports and events"`
	AppendsPerSecond int           `long:"appends-per-second" description:"limit of the Log"`
	Retention        time.Duration `long:"retention" description:"time that the Log keeps records"`
	File             string        `long:"file" description:"file in which the Log keeps its records, so that a restarted Log has them"`
	MaxRecords       int           `long:"max-records" description:"records that the Log keeps of a stream"`
	BytesPerSecond   int64         `long:"bytes-per-second" description:"rate of the WeightStore"`
	Args             struct {
		Role string `positional-arg-name:"ROLE" description:"Log, HostList, WeightStore, Engine, Worker or Service" required:"yes"`
	} `positional-args:"yes"`
}

// Main runs the stand-in named on the command line until SIGINT or SIGTERM, then
// exits.
func Main() {
	var o options
	command.Main("berylstand", &o, func(ctx context.Context) error { return run(ctx, &o) })
}

func run(ctx context.Context, o *options) error {
	addr, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return err
	}
	if !addr.Addr().IsLoopback() {
		return fmt.Errorf("%s is not a loopback address", addr)
	}
	h, err := newHandler(o)
	if err != nil {
		return err
	}
	s := &standin.Server{Net: link.TCP{}, Addr: addr, Handler: h}
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Stop()
	fmt.Printf("%s on %s\n", o.Args.Role, s.Addr)
	if err := writeAddr(o.AddrFile, s.Addr); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// writeAddr writes the address atomically, so that a reader never sees a partial
// file.
func writeAddr(file string, addr netip.AddrPort) error {
	if file == "" {
		return nil
	}
	if err := os.WriteFile(file+".new", []byte(addr.String()), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// newHandler returns the stand-in for the role.
func newHandler(o *options) (http.Handler, error) {
	switch strings.ToLower(o.Args.Role) {
	case "log":
		l := &standin.Log{AppendsPerSecond: o.AppendsPerSecond, Retention: o.Retention, MaxRecords: o.MaxRecords, File: o.File}
		return l, l.Load()
	case "hostlist":
		return &standin.HostList{Lag: o.Lag}, nil
	case "weightstore":
		return &standin.WeightStore{BytesPerSecond: o.BytesPerSecond}, nil
	case "engine":
		return newEngine(o)
	case "worker":
		return &standin.Worker{Name: o.Name, Speed: o.Speed, Slots: o.Slots, BaseService: o.BaseService}, nil
	case "service":
		return &standin.Service{Worker: standin.Worker{Name: o.Name, Speed: o.Speed, Slots: o.Slots, BaseService: o.BaseService}}, nil
	default:
		return nil, fmt.Errorf("unknown role %q; want Log, HostList, WeightStore, Engine, Worker or Service", o.Args.Role)
	}
}

func newEngine(o *options) (http.Handler, error) {
	e := &standin.Engine{Name: o.Name, Speed: o.Speed, Slots: o.Slots, Models: o.Models, ChecksFencing: o.ChecksFencing, ReportLag: o.Lag, EventLag: o.Lag}
	if o.Weights == "" {
		return e, nil
	}
	addr, err := netip.ParseAddrPort(o.Weights)
	if err != nil {
		return nil, fmt.Errorf("--weights: %w", err)
	}
	e.Weights = addr
	return e, nil
}
