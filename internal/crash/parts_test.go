package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"pgregory.net/rapid"
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
			s.table.recordBegin(b, s.now)
			return fmt.Sprintf("cleared %s of %d incidents", strings.Join(b.Parts, " "), len(b.Incidents))
		}
		return "cleared nothing"
	case "cleared-elsewhere":
		s.table.recordBegin(&PartBegin{Parts: args[1:], Incidents: []Incident{{Target: args[0]}}}, s.now)
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

// TestPartNewsInAnyOrder applies the same news in two orders, some of them twice, and
// expects the same requests to be blocked: hosts get the news by calls, as notes and
// from the archive.
func TestPartNewsInAnyOrder(t *testing.T) {
	parts := []string{"a", "b", "c", "d"}
	subset := rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 1, len(parts), rapid.ID[string])
	incident := rapid.Custom(func(t *rapid.T) Incident {
		return Incident{Target: rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "target")}
	})
	now := time.Unix(1000, 0)
	word := rapid.Custom(func(t *rapid.T) Word {
		w := Word{At: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at")) * time.Millisecond)}
		if rapid.Bool().Draw(t, "crash") {
			w.Crash = &PartCrash{Incident: incident.Draw(t, "incident"), Parts: subset.Draw(t, "parts")}
		} else {
			w.Begin = &PartBegin{Parts: subset.Draw(t, "parts")[:1], Incidents: []Incident{incident.Draw(t, "incident")}}
		}
		return w
	})
	blocked := func(words []Word) []string {
		var table partTable
		for _, w := range words {
			if w.Crash != nil {
				table.recordCrash(w.Crash, w.At, now)
			} else {
				table.recordBegin(w.Begin, now)
			}
		}
		var out []string
		for set := 1; set < 1<<len(parts); set++ {
			var of []string
			for i, p := range parts {
				if set&(1<<i) != 0 {
					of = append(of, p)
				}
			}
			out = append(out, fmt.Sprint(of, table.blocked(of, now)))
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(word, 1, 20).Draw(t, "news")
		again := append(rapid.Permutation(words).Draw(t, "order"), words[:rapid.IntRange(0, len(words)).Draw(t, "twice")]...)
		if diff := cmp.Diff(blocked(words), blocked(again)); diff != "" {
			t.Fatalf("blocked (-in order +in another):\n%s", diff)
		}
	})
}

// TestTrackable expects the last parts of a prompt with very many to be tracked, and
// none whose name is too long to keep.
func TestTrackable(t *testing.T) {
	var parts []string
	for i := range 2 * maxReportParts {
		parts = append(parts, fmt.Sprint("p", i))
	}
	want := append([]string(nil), parts[maxReportParts+1:]...)
	parts = append(parts, strings.Repeat("x", maxPartBytes+1))
	if diff := cmp.Diff(want, trackable(parts)); diff != "" {
		t.Errorf("tracked (-want +got):\n%s", diff)
	}
}

// TestTrialAmongMinority has hosts cut off from each other: on each side one host
// believes that it allows trials for all, and each trial may crash a target.
func TestTrialAmongMinority(t *testing.T) {
	const hosts = 5
	for members := 1; members <= hosts; members++ {
		var list []peer.Host
		for i := range members {
			list = append(list, peer.Host{Name: fmt.Sprint("h", i)})
		}
		m := peer.NewMembers(list)
		table := &Table{Self: m.Holder(suspectsKey).Name, Clock: &clock.Service{}, Log: zap.NewNop(), Exchange: &fixedMembers{m}, Hosts: func() int { return hosts }}
		for _, target := range []string{"a", "b", "c"} {
			at := time.Now().Add(-time.Hour)
			table.parts.recordCrash(&PartCrash{Incident: Incident{Target: target}, Parts: []string{"x"}}, at, at)
		}
		if got, want := table.TakeTrial("x"), 2*members > hosts; got != want {
			t.Errorf("trial among %d of %d hosts: %v, want %v", members, hosts, got, want)
		}
	}
}
