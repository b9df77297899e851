package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// partsScript runs a script against one partTable with a clock of its own.
//
//	crash TARGET PART ...   a target crashed, with these parts not begun
//	begin PART ...          a request with these parts is answered
//	cleared-elsewhere TARGET PART ...  the news that these parts are cleared of a crash
//	blocked PART ...        prints the part for which a request is blocked, or none
//	trial PART              prints whether a trial is allowed
//	wait D
type partsScript struct {
	table partTable
	now   time.Time
}

func TestParts(t *testing.T) {
	datadriven.Walk(t, "testdata/parts", func(t *testing.T, path string) {
		s := &partsScript{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *partsScript) run(t *testing.T, d *datadriven.TestData) string {
	var args []string
	for _, a := range d.CmdArgs {
		args = append(args, a.Key)
	}
	switch d.Cmd {
	case "crash":
		s.table.recordCrash(&PartCrash{Incident: Incident{Target: args[0]}, Parts: args[1:]}, s.now, s.now)
	case "begin":
		if b := s.table.begun(args, s.now); b != nil {
			s.table.recordBegin(b, s.now, s.now)
			return fmt.Sprintf("cleared %s of %d incidents", strings.Join(b.Parts, " "), len(b.Incidents))
		}
		return "cleared nothing"
	case "cleared-elsewhere":
		s.table.recordBegin(&PartBegin{Parts: args[1:], Incidents: []Incident{{Target: args[0]}}}, s.now, s.now)
	case "blocked":
		if p := s.table.blocked(args, s.now); p != "" {
			return p
		}
		return "none"
	case "trial":
		return fmt.Sprint(s.table.takeTrial(args[0], s.now))
	case "wait":
		pause, err := time.ParseDuration(args[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(pause)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return "ok"
}
