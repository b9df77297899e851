package crash

import (
	"fmt"
	"slices"
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

// suspectsScript runs a script against one suspectTable with a clock of its own. A
// SUSPECT is a part of a prompt, or with # before it a request.
//
//	crash TARGET SUSPECT ...   a target crashed while it ran these
//	begin SUSPECT ...          these are answered
//	cleared-elsewhere TARGET SUSPECT ...  the news that these are cleared of a crash
//	blocked SUSPECT ...        prints that for which a request is blocked, or none
//	trial SUSPECT              prints whether a trial is allowed
//	wait D
type suspectsScript struct {
	table suspectTable
	now   time.Time
}

func TestSuspects(t *testing.T) {
	datadriven.Walk(t, "testdata/suspects", func(t *testing.T, path string) {
		s := &suspectsScript{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *suspectsScript) run(t *testing.T, d *datadriven.TestData) string {
	var args []string
	for _, a := range d.CmdArgs {
		args = append(args, a.Key)
	}
	switch d.Cmd {
	case "crash":
		s.table.recordCrash(&Crash{Incident: Incident{Target: args[0]}, Suspects: suspectsOf(args[1:])}, s.now, s.now)
	case "begin":
		if c := s.table.clearing(suspectsOf(args), s.now); c != nil {
			s.table.recordClearing(c, s.now)
			var names []string
			for _, suspect := range c.Suspects {
				names = append(names, scriptName(suspect))
			}
			return fmt.Sprintf("cleared %s of %d incidents", strings.Join(names, " "), len(c.Incidents))
		}
		return "cleared nothing"
	case "cleared-elsewhere":
		s.table.recordClearing(&Clearing{Suspects: suspectsOf(args[1:]), Incidents: []Incident{{Target: args[0]}}}, s.now)
	case "blocked":
		own := suspectsOf(args)
		if suspect := s.table.blocked(own, own, s.now); suspect != (Suspect{}) {
			return scriptName(suspect)
		}
		return "none"
	case "trial":
		return fmt.Sprint(s.table.takeTrial(suspectsOf(args[:1])[0], s.now))
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

// suspectsOf returns the suspects with the given names in a script.
func suspectsOf(names []string) []Suspect {
	var out []Suspect
	for _, name := range names {
		if digest, ok := strings.CutPrefix(name, "#"); ok {
			out = append(out, Suspect{Digest: digest})
		} else {
			out = append(out, Suspect{Part: name})
		}
	}
	return out
}

// scriptName is the inverse of suspectsOf for one suspect.
func scriptName(s Suspect) string {
	if s.Digest != "" {
		return "#" + s.Digest
	}
	return s.Part
}

// TestNewsInAnyOrder applies the same news in two orders, some of them twice, and
// expects the same requests to be blocked: hosts get the news by calls, as notes and
// from the archive.
func TestNewsInAnyOrder(t *testing.T) {
	suspects := suspectsOf([]string{"a", "b", "#c", "#d"})
	subset := rapid.SliceOfNDistinct(rapid.SampledFrom(suspects), 1, len(suspects), rapid.ID[Suspect])
	incident := rapid.Custom(func(t *rapid.T) Incident {
		return Incident{Target: rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "target")}
	})
	now := time.Unix(1000, 0)
	word := rapid.Custom(func(t *rapid.T) Word {
		w := Word{At: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at")) * time.Millisecond)}
		if rapid.Bool().Draw(t, "crash") {
			w.Crash = &Crash{Incident: incident.Draw(t, "incident"), Suspects: subset.Draw(t, "suspects")}
		} else {
			w.Clearing = &Clearing{Suspects: subset.Draw(t, "suspects")[:1], Incidents: []Incident{incident.Draw(t, "incident")}}
		}
		return w
	})
	blocked := func(words []Word) []string {
		var table suspectTable
		for _, w := range words {
			if w.Crash != nil {
				table.recordCrash(w.Crash, w.At, now)
			} else {
				table.recordClearing(w.Clearing, now)
			}
		}
		var out []string
		for set := 1; set < 1<<len(suspects); set++ {
			var own []Suspect
			for i, s := range suspects {
				if set&(1<<i) != 0 {
					own = append(own, s)
				}
			}
			out = append(out, fmt.Sprint(own, table.blocked(own, own, now)))
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

// TestTrackable expects the last parts of a prompt with very many to be tracked, none
// whose name is too long to keep, and the request itself.
func TestTrackable(t *testing.T) {
	var names []string
	for i := range 2 * maxReportParts {
		names = append(names, fmt.Sprint("p", i))
	}
	want := suspectsOf(append(slices.Clone(names[maxReportParts+1:]), "#d"))
	suspects := suspectsOf(append(names, strings.Repeat("x", maxPartBytes+1), "#d"))
	if diff := cmp.Diff(want, trackable(suspects)); diff != "" {
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
			table.suspects.recordCrash(&Crash{Incident: Incident{Target: target}, Suspects: suspectsOf([]string{"x"})}, at, at)
		}
		if got, want := table.TakeTrial(Suspect{Part: "x"}), 2*members > hosts; got != want {
			t.Errorf("trial among %d of %d hosts: %v, want %v", members, hosts, got, want)
		}
	}
}

// BenchmarkBlocked measures the question that each request asks, with as many incidents
// and suspects as a table holds, of which none concerns the request.
func BenchmarkBlocked(b *testing.B) {
	now := time.Unix(1000, 0)
	var table suspectTable
	for i := range maxIncidents {
		c := &Crash{Incident: Incident{Target: fmt.Sprint("t", i)}}
		for j := range maxIncidentSuspects {
			c.Suspects = append(c.Suspects, Suspect{Digest: fmt.Sprint(i, j)})
		}
		table.recordCrash(c, now, now)
	}
	own := suspectsOf([]string{"a", "b", "c", "#d"})
	b.ReportAllocs()
	for b.Loop() {
		table.blocked(own, own, now)
	}
}
