package main

import (
	"testing"

	"berylswitch.example/berylswitch/internal/standin/process"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets scripts run the commands as processes of this test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylswitch": main,
		"berylstand":  process.Main,
	})
}
