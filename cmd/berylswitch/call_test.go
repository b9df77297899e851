package main

import (
	"errors"
	"testing"

	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/go-cmp/cmp"
)

func TestCallExitCodes(t *testing.T) {
	for _, row := range result.Table {
		want := map[int]int{1: exitRequest, 2: exitRefused, 3: exitMayRun, 4: exitSystem}[int(row.Code)/100]
		if row.Code == result.OK {
			continue
		}
		if diff := cmp.Diff(want, exitCodeOf(&result.Error{Code: row.Code})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", row.Name, diff)
		}
	}
	if got := exitCodeOf(&caller.NoAnswerError{Cause: errors.New("x")}); got != exitLost {
		t.Errorf("a lost answer exits with %d", got)
	}
}
