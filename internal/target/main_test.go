package target

import (
	"testing"

	"berylswitch.example/berylswitch/internal/fuzzing"
)

// Default seed and number of checks of the property tests.
const (
	fixedSeed   = "20260101"
	fixedChecks = "100"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fixedSeed, fixedChecks) }
