package standin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"github.com/google/go-cmp/cmp"
)

// TestAnswerFaults checks the effect of the answer faults on the pieces.
func TestAnswerFaults(t *testing.T) {
	for fault, want := range map[AnswerFault]string{
		"":         "a:0 a:1!",
		OutOfOrder: "a:1! a:0",
		Doubled:    "a:0 a:0 a:1! a:1!",
		Foreign:    "foreign-a:0 foreign-a:1!",
		Truncated:  "a:0",
	} {
		synctest.Test(t, func(t *testing.T) {
			w := &Worker{Name: "w"}
			w.SetFaults(TargetFaults{Answers: fault})
			pieces, err := newFixture(t, w).run(contract.Run{AttemptID: "a"}, contract.Work{Service: time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, formatPieces(pieces)); diff != "" {
				t.Errorf("%q (-want +got):\n%s", fault, diff)
			}
		})
	}
}

// formatPieces formats the attempt ID and sequence number of each piece, with an
// exclamation mark for the last one.
func formatPieces(pieces []contract.Piece) string {
	var out []string
	for _, p := range pieces {
		text := p.AttemptID + ":" + string(rune('0'+p.Seq))
		if p.End {
			text += "!"
		}
		out = append(out, text)
	}
	return strings.Join(out, " ")
}

func TestWorkerSlowdownMidRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Worker{Name: "w"}
		f := newFixture(t, w)
		start := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { w.SetFaults(TargetFaults{Slow: 10}) })
		if _, err := f.run(contract.Run{AttemptID: "a"}, contract.Work{Service: time.Second}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start).Round(100 * time.Millisecond); took != 5500*time.Millisecond {
			t.Errorf("0.5 s at full speed and the rest at a tenth took %v, want 5.5 s", took)
		}
	})
}

func TestServiceCountsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := &Service{Worker: Worker{Name: "b", Slots: 2}}
		f := newFixture(t, svc)
		for _, key := range []string{"k1", "k1", "k2"} {
			if _, err := f.run(contract.Run{AttemptID: "a", Key: key, Stage: "book"}, contract.Work{Text: "x"}); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff([]string{"k1"}, svc.DuplicatedKeys()); diff != "" {
			t.Errorf("duplicated keys (-want +got):\n%s", diff)
		}
		var asked contract.AskReply
		f.get(contract.AskPath+"?Key=k2", &asked)
		if diff := cmp.Diff(contract.AskReply{Ran: true, Answer: "b(book: x)"}, asked); diff != "" {
			t.Errorf("ask (-want +got):\n%s", diff)
		}
		f.get(contract.AskPath+"?Key=k3", &asked)
		if asked.Ran {
			t.Error("a key that was never sent is reported as run")
		}
	})
}
