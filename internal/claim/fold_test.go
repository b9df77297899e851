package claim

import (
	"fmt"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
)

// foldScript folds the records of a script in order. Times are in seconds after
// foldEpoch.
type foldScript struct {
	table  Table
	offset platform.Offset
}

var foldEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestFold(t *testing.T) {
	datadriven.Walk(t, "testdata/fold", func(t *testing.T, path string) {
		s := &foldScript{}
		datadriven.RunTest(t, path, s.command)
	})
}

func (s *foldScript) command(t *testing.T, d *datadriven.TestData) string {
	r := Request{Workspace: "W", Digest: "body"}
	second := func(name string) time.Time {
		n := 0
		d.MaybeScanArgs(t, name, &n)
		return foldEpoch.Add(time.Duration(n) * time.Second)
	}
	d.MaybeScanArgs(t, "attempt", &r.AttemptID)
	d.MaybeScanArgs(t, "body", &r.Digest)
	d.MaybeScanArgs(t, "workspace", &r.Workspace)
	r.Until = second("until")
	r.Key = keyMadeAt(second("made"))
	var v any
	switch d.Cmd {
	case "claim":
		v = r
	case "release":
		v = r
	case "outcome":
		v = OutcomeRecord{r.Workspace, r.Key, r.AttemptID, Outcome{Code: result.OK, Ran: result.RanYes, Answer: []byte("1"), Stored: true}}
	case "rule":
		v = Rule{RuleVersion + 1}
	case "find":
		return verdictText(s.table.Find(&r))
	case "advance":
		s.table.Advance(second("to"))
		return fmt.Sprintf("%d keys and tombstones, rules known: %t", s.table.Len(), s.table.RuleKnown())
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	kind := map[string]string{"claim": ClaimKind, "release": ReleaseKind, "outcome": OutcomeKind, "rule": RuleKind}[d.Cmd]
	e, err := newEntry(kind, r.AttemptID, v)
	if err != nil {
		t.Fatal(err)
	}
	s.offset++
	a := s.table.Apply(&platform.Record{Offset: s.offset, At: second("at"), Entry: e})
	return verdictText(a.Verdict)
}

// keyMadeAt returns a UUIDv7 with the timestamp at.
func keyMadeAt(at time.Time) string {
	u := uuid.UUID{6: 0x70, 8: 0x80}
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

func verdictText(v Verdict) string {
	switch v := v.(type) {
	case nil:
		return "none"
	case First:
		return "first"
	case Repeat:
		return fmt.Sprintf("repeat of %s: %s", v.Outcome.Code, v.Outcome.Answer)
	case Refused:
		return fmt.Sprintf("refused %s", v.Result)
	}
	panic(fmt.Sprintf("unexpected verdict %T", v))
}
