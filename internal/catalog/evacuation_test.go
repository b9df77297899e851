package catalog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// evacuationScript runs a script against a follower. Changes are lines
// "DOMAIN evacuated|back OFFSET". Each command prints the evacuations in force with
// the position, and the log lines of those that began or ended.
//
//	read next=N [full] [era=N]      a read of the operators' topic from the store
//	reply next=N [age=D] [era=N]    a reply of a peer that has read the topic up to N
//	former version=N                a reply of a host of the former version with a configuration
//	sleep D
type evacuationScript struct {
	follower *Follower
	logs     *observer.ObservedLogs
}

// TestEvacuations guards against an older state that replaces a newer one: a peer that
// is behind, or records that are read again, must neither start nor end an evacuation,
// while a full read ends those that it doesn't list.
func TestEvacuations(t *testing.T) {
	datadriven.Walk(t, "testdata/evacuations", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			s := &evacuationScript{&Follower{Clock: &clock.Service{}, Log: zap.New(core)}, logs}
			s.follower.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(1, 0, 1), Next: 1})
			datadriven.RunTest(t, path, s.run)
		})
	})
}

func (s *evacuationScript) run(t *testing.T, d *datadriven.TestData) string {
	next, era, version, age := int64(0), int64(0), int64(0), "0s"
	d.MaybeScanArgs(t, "next", &next)
	d.MaybeScanArgs(t, "era", &era)
	d.MaybeScanArgs(t, "version", &version)
	d.MaybeScanArgs(t, "age", &age)
	changes := parseEvacuations(t, d.Input)
	switch d.Cmd {
	case "read":
		s.follower.ApplyTableUpdate(TableUpdate{Full: d.HasArg("full"), Evacuations: changes, Next: Offset(next), Era: Era(era)}, Source{Name: "store"})
	case "reply":
		s.follower.applyHeld(&Held{TableNext: Offset(next), TableEra: Era(era), Evacuations: changes, ReadAge: parseDuration(t, d, age)}, Source{Name: "peer"})
	case "sleep":
		time.Sleep(parseDuration(t, d, d.CmdArgs[0].Key))
	case "former":
		s.follower.applyHeld(&Held{Table: &Table{Version: version}}, Source{Name: "former"})
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.state()
}

func parseDuration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	out, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return out
}

func parseEvacuations(t *testing.T, input string) []EvacuationChange {
	var out []EvacuationChange
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		if line == "" {
			continue
		}
		var c EvacuationChange
		var state string
		if _, err := fmt.Sscan(line, &c.Domain, &state, &c.Offset); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		c.Evacuated = state == "evacuated"
		out = append(out, c)
	}
	return out
}

func (s *evacuationScript) state() string {
	var b strings.Builder
	snapshot := s.follower.Snapshot()
	var domains []string
	for domain, at := range snapshot.Evacuated {
		domains = append(domains, fmt.Sprintf("%s@%d", domain, at.Offset))
	}
	slices.Sort(domains)
	fmt.Fprintf(&b, "evacuated %v, position %s, ready %v\n", domains, positionText(s.follower.tablePosition), s.follower.Ready())
	var lines []string
	for _, e := range s.logs.TakeAll() {
		switch f := e.ContextMap(); {
		case f["Domain"] != nil:
			lines = append(lines, fmt.Sprintf("log: %s %v offset %v source %v\n", e.Message, f["Domain"], f["Offset"], f["Source"]))
		case f["Next"] != nil:
			lines = append(lines, fmt.Sprintf("log: %s next %v former %v source %v\n", e.Message, f["Next"], f["Former"], f["Source"]))
		}
	}
	slices.Sort(lines)
	b.WriteString(strings.Join(lines, ""))
	return b.String()
}

// positionText returns the offset of p, and its era if that is known.
func positionText(p Position) string {
	if p.Era == 0 {
		return fmt.Sprint(p.Offset)
	}
	return fmt.Sprintf("%d of era %d", p.Offset, p.Era)
}

// TestActiveTargetsOfEvacuatedDomain guards against work for targets of evacuated
// failure domains, and for those outside the home regions.
func TestActiveTargetsOfEvacuatedDomain(t *testing.T) {
	s := &Snapshot{Evacuated: map[string]Position{"b": {Offset: 3}}, Targets: map[string][]*Target{"s": {
		{ID: "t0", Domain: "a"}, {ID: "t1", Domain: "b"}, {ID: "t2", Domain: "c"}, {ID: "t3", Domain: "c", Leaving: true},
	}}}
	for _, c := range []struct {
		domains []string
		want    []string
		barred  bool
	}{{nil, []string{"t0", "t2"}, false}, {[]string{"b", "c"}, []string{"t2"}, false}, {[]string{"b"}, nil, true}, {[]string{"d"}, nil, true}} {
		var got []string
		for _, target := range s.ActiveTargetsIn("s", c.domains) {
			got = append(got, target.ID)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("targets in %v (-want +got):\n%s", c.domains, diff)
		}
		if barred := s.Bars("s", c.domains); barred != c.barred {
			t.Errorf("barred in %v: %v", c.domains, barred)
		}
	}
	if s.Bars("unknown", nil) {
		t.Error("a service without targets counts as barred")
	}
}

// TestPollEndsWithEvacuation expects an evacuation to end the waiting poll of another
// host though the configuration's version stays the same: polls once ended only for a new
// version. A host of the former version ignores evacuations, and its polls must not end
// again and again because of one.
func TestPollEndsWithEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, poller := newFollower(), newFollower()
		reader.recordTargetsRead()
		reader.recordTableRead()
		reader.ApplyTargets(TargetsUpdate{Full: true, Changes: entries(2, 0, 1), Next: 2})
		reader.ApplyTableUpdate(TableUpdate{Full: true, Table: &Table{Version: 3}, Next: 4}, Source{Name: "store"})
		fetch(t, reader, poller, 0)
		for i, evacuated := range []bool{true, false} {
			change := EvacuationChange{Domain: "a", Evacuated: evacuated, Offset: Offset(4 + i)}
			time.AfterFunc(300*time.Millisecond, func() {
				reader.ApplyTableUpdate(TableUpdate{Evacuations: []EvacuationChange{change}, Next: change.Offset + 1}, Source{Name: "store"})
			})
			start := time.Now()
			fetch(t, reader, poller, time.Second)
			if took := time.Since(start); took != 300*time.Millisecond || poller.Snapshot().IsEvacuated("a") != evacuated {
				t.Errorf("took %v, evacuated %v", took, poller.Snapshot().Evacuated)
			}
		}
		start := time.Now()
		former := Known{Version: 3, Next: 2, Wait: time.Second}
		if err := (&Relay{reader}).Fetch(former, &Held{}); err != nil || time.Since(start) != time.Second {
			t.Errorf("a poll of the former version took %v, error %v", time.Since(start), err)
		}
	})
}

// TestPartialTable guards against a configuration that stays incomplete after it came from
// a host of the former version: the same version from the store, or from a host that has
// all of it, must replace it, and it must not be passed on as complete.
func TestPartialTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		partial := &Held{Table: &Table{Version: 3, Routes: []*Route{{Name: "r"}}}}
		whole := func() *Table { return &Table{Version: 3, Routes: []*Route{{Name: "r", Regions: []string{"north"}}}} }
		reader, poller, other := newFollower(), newFollower(), newFollower()
		reader.ApplyTableUpdate(TableUpdate{Full: true, Table: whole(), Next: 4}, Source{Name: "store"})
		for _, f := range []*Follower{poller, other} {
			f.applyHeld(partial, Source{Name: "former"})
			f.ApplyTableUpdate(TableUpdate{Full: true, Next: 4}, Source{Name: "store"})
		}
		if held := fetch(t, other, newFollower(), 0); held.hasTopic() {
			t.Errorf("a partial configuration was passed on as whole: %+v", held)
		}
		fetch(t, reader, poller, 0)
		other.ApplyTable(whole(), Source{Name: "store"})
		for _, f := range []*Follower{poller, other} {
			if diff := cmp.Diff([]string{"north"}, f.Snapshot().Table.Routes[0].Regions); diff != "" {
				t.Errorf("regions (-want +got):\n%s", diff)
			}
			f.applyHeld(partial, Source{Name: "former"})
			if f.Snapshot().Table.Routes[0].Regions == nil {
				t.Error("a partial configuration replaced a whole one of the same version")
			}
		}
	})
}

// startingFeed is a store whose operators' topic can't be read before openAt, with an
// evacuation in force. Its targets can be read at any time.
type startingFeed struct{ openAt time.Time }

func (d *startingFeed) ReadTable(ctx context.Context, from Position, wait time.Duration) (TableUpdate, error) {
	if time.Now().Before(d.openAt) {
		return TableUpdate{}, errors.New("topic can't be read")
	}
	if from.Offset != Start {
		return TableUpdate{Next: from.Offset}, (&clock.Service{}).Sleep(ctx, wait)
	}
	return TableUpdate{Full: true, Table: &Table{Version: 1}, Evacuations: []EvacuationChange{{Domain: "a", Evacuated: true, Offset: 1}}, Next: 2}, nil
}

func (d *startingFeed) ReadTargets(ctx context.Context, from Position, wait time.Duration) (TargetsUpdate, error) {
	if from.Offset != Start {
		return TargetsUpdate{Next: from.Offset}, (&clock.Service{}).Sleep(ctx, wait)
	}
	return TargetsUpdate{Full: true, Changes: entries(2, 0, 1), Next: 2}, nil
}

// TestStartDuringEvacuation expects a host that starts during an evacuation not to be
// ready before it has read the operators' topic, even if a host of the former version
// gave it a configuration.
func TestStartDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const closed = 3 * time.Second
		f := &Follower{Feed: &startingFeed{time.Now().Add(closed)}, Clock: &clock.Service{}, Log: zap.NewNop(), ApplyTime: 4 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(closed - time.Second)
		f.applyHeld(&Held{Table: &Table{Version: 1}}, Source{Name: "former"})
		if f.Ready() {
			t.Error("ready without the evacuations")
		}
		time.Sleep(2 * time.Second)
		if !f.Ready() || !f.Snapshot().IsEvacuated("a") {
			t.Errorf("ready %v, evacuated %v", f.Ready(), f.Snapshot().Evacuated)
		}
		cancel()
		<-done
	})
}

// restartedFeed is a store that loses the history of the operators' topic at lostAt, and
// enters another era. It held an evacuation of a before, and holds one of b afterwards.
type restartedFeed struct {
	startingFeed
	lostAt time.Time
}

func (d *restartedFeed) ReadTable(ctx context.Context, from Position, wait time.Duration) (TableUpdate, error) {
	domain, next, era := "a", Offset(50), Era(1)
	if !time.Now().Before(d.lostAt) {
		domain, next, era = "b", 10, 2
	}
	if from == (Position{era, next}) {
		return TableUpdate{Next: next, Era: era}, (&clock.Service{}).Sleep(ctx, wait)
	}
	return TableUpdate{Full: true, Table: &Table{Version: 1}, Evacuations: []EvacuationChange{{Domain: domain, Evacuated: true, Offset: next - 1}}, Next: next, Era: era}, nil
}

// TestTopicStartsOver has the store lose the history of the operators' topic, so that its
// offsets start over. A host must follow the new history, also if a peer that has not
// noticed gives it the former state: hosts once kept that for good.
func TestTopicStartsOver(t *testing.T) {
	for _, lost := range []time.Duration{0, 3 * time.Second} {
		t.Run(lost.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &Follower{Feed: &restartedFeed{lostAt: time.Now().Add(lost)}, Clock: &clock.Service{}, Log: zap.NewNop(), ApplyTime: 4 * time.Second}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				time.Sleep(lost + 5*time.Second)
				for _, when := range []string{"in the new history", "after the former state from a peer"} {
					if diff := cmp.Diff(map[string]Position{"b": {2, 9}}, f.Snapshot().Evacuated); diff != "" {
						t.Errorf("evacuated %s (-want +got):\n%s", when, diff)
					}
					f.applyHeld(&Held{TableNext: 50, TableEra: 1, Evacuations: []EvacuationChange{{Domain: "a", Evacuated: true, Offset: 49}}}, Source{Name: "peer"})
					time.Sleep(5 * time.Second)
				}
				cancel()
				<-done
			})
		})
	}
}

// TestAgeOfStateThatIsAhead expects a host's state to stay as old as it is after the reply
// of a peer with an earlier position: with the age of the reply, other hosts would take
// the state for a recent one.
func TestAgeOfStateThatIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower()
		f.ApplyTableUpdate(TableUpdate{Full: true, Next: 50}, Source{Name: "store"})
		f.recordTargetsRead()
		f.recordTableRead()
		const age = 3 * time.Second
		time.Sleep(age)
		f.applyHeld(&Held{TableNext: 10}, Source{Name: "peer"})
		held := &Held{}
		if err := (&Relay{f}).Fetch(Known{}, held); err != nil || held.ReadAge != age || held.TableNext != 50 {
			t.Errorf("age %v at %d, want %v at 50, error %v", held.ReadAge, held.TableNext, age, err)
		}
	})
}
