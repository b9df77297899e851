// Package fuzzing fixes the seed and the number of checks of a package's property
// tests, so that every run gives the same verdict. Only tests use it.
package fuzzing

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of TestMain in a package that tests with rapid. The flags
// -rapid.seed and -rapid.checks take precedence over seed and checks.
func Main(m *testing.M, seed, checks string) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
