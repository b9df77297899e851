// Berylstand runs the stand-ins of the platform's services and of targets as
// processes, for trying and testing berylswitch.
package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"berylswitch.example/berylswitch/internal/standin"
	"github.com/jessevdk/go-flags"
)

// options is the command line.
type options struct {
	Addr  string  `long:"addr" description:"IP number and port to listen on" default:"127.0.0.1:0"`
	Name  string  `long:"name" description:"name of the target"`
	Speed float64 `long:"speed" description:"speed of the target" default:"1"`
	Slots int     `long:"slots" description:"runs that the target takes at once" default:"4"`
	Args  struct {
		Role string `positional-arg-name:"ROLE" description:"Log or Worker" required:"yes"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "berylstand:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	addr, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return err
	}
	switch o.Args.Role {
	case "Log":
		return http.ListenAndServe(addr.String(), &standin.Log{})
	case "Worker":
		return http.ListenAndServe(addr.String(), &standin.Worker{Name: o.Name, Speed: o.Speed, Slots: o.Slots})
	default:
		return fmt.Errorf("no role %q; roles are Log and Worker", o.Args.Role)
	}
}
