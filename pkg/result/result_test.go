package result

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTableIsAscendingAndNamed(t *testing.T) {
	for i, row := range Table {
		if i > 0 && Table[i-1].Code >= row.Code {
			t.Errorf("%s follows a code that is not lower", row.Name)
		}
		if row.Meaning == "" || row.HTTPStatus == 0 {
			t.Errorf("%s has no meaning or no HTTP status", row.Name)
		}
	}
}

func TestRanText(t *testing.T) {
	for r := RanNo; r <= RanUnknown; r++ {
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var got Ran
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(r, got); diff != "" {
			t.Errorf("Ran differs after a round trip:\n%s", diff)
		}
	}
}

func TestNotRunRefusesOtherCodes(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("NotRun accepted a code that does not promise that nothing ran")
		}
	}()
	NotRun(StageFailed, "x")
}
