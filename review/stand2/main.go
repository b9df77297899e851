// Command stand2 runs the cases of the second review. Each case starts the project's own
// gateways as separate processes, on loopback addresses and the real clock, against the
// stand-ins of this package: the platform's store, workers and clients. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run.
//
//	stand2 CASE RECORD
//
// CASE is the name of a case, RECORD the file that takes what was sent, answered and run.
// With TROUBLE=0 in the environment a case leaves its disruption out.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. A case reports whether its rule was broken.
var cases = map[string]func(*bench) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs one case and returns the exit status.
func runCase(name, record string) int {
	b, err := newBench(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	broken, err := cases[name](b)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		b.note("result: the rule was broken")
		return 1
	default:
		b.note("result: the rule held")
		return 0
	}
}
