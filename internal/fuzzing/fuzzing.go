// Package fuzzing fixes the seed and the length of the drawn tests of a
// package, so that each run of the checks gives the same verdict. Tests use it
// alone.
package fuzzing

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of a TestMain whose package draws with rapid. The command
// line's -rapid.seed and -rapid.checks go before seed and checks.
func Main(m *testing.M, seed, checks string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
