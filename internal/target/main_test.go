package target

import (
	"testing"

	"berylswitch.example/berylswitch/internal/fuzzing"
)

// The seed and the number of checks of the property-based tests.
const (
	fixedSeed   = "20260101"
	fixedChecks = "100"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fixedSeed, fixedChecks) }
