package stage

import (
	"testing"

	"berylswitch.example/berylswitch/internal/fuzzing"
)

// Default seed and number of checks of the package's property tests; -rapid.seed and
// -rapid.checks override them.
const (
	fixedSeed   = "20261207"
	fixedChecks = "300"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fixedSeed, fixedChecks) }
