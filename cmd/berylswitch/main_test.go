package main

import (
	"testing"

	load "berylswitch.example/berylswitch/internal/load/process"
	standin "berylswitch.example/berylswitch/internal/standin/process"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets scripts run the commands as processes of the test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylswitch": main,
		"berylstand":  standin.Main,
		"berylload":   load.Main,
	})
}
