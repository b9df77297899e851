package stage

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestFairLevel expects shares that are max-min fair: nobody gets more than asked, all of
// the capacity is given out if it is short, and who gets less than asked gets as much as
// anybody.
func TestFairLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
		}), 1, 20).Draw(t, "asked")
		total := time.Duration(rapid.IntRange(0, 10000).Draw(t, "total")) * time.Millisecond
		sum, given := time.Duration(0), time.Duration(0)
		level := fairLevel(asked, total)
		for _, a := range asked {
			sum += a
			given += min(a, level)
		}
		if sum <= total != (level == noLevel) {
			t.Fatalf("%v of %v asked, level %v", sum, total, level)
		}
		if rounding := time.Duration(len(asked)); level != noLevel && (given > total || given < total-rounding) {
			t.Fatalf("%v of %v given at level %v", given, total, level)
		}
	})
}

// TestShares runs scripted loads of one pool in steps of 10 ms. Commands:
//
//	load NAME=RATE ...: what the workspaces ask for from now on, as a multiple of the
//	  capacity, in requests of 10 ms. A rate followed by ! is that of a workspace that
//	  retries each refused request at once, up to ten times.
//	run TIME: prints what each workspace asked for and was granted, as parts of the
//	  capacity; more than all of it means that work is promised for later
func TestShares(t *testing.T) {
	datadriven.Walk(t, "testdata/shares", func(t *testing.T, path string) {
		p := &sharedPool{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "load":
				p.loads = nil
				for _, arg := range d.CmdArgs {
					p.loads = append(p.loads, parseLoad(t, arg))
				}
				return ""
			case "run":
				return p.run(parseTime(t, d.CmdArgs[0].Key))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// workspaceLoad is the load of one workspace, or of several alike.
type workspaceLoad struct {
	name    string
	rate    float64
	retries int
	// asked and granted are costs. A retry does not count as asked for again.
	asked, granted time.Duration
}

func parseLoad(t *testing.T, arg datadriven.CmdArg) *workspaceLoad {
	l := &workspaceLoad{name: arg.Key}
	if len(arg.Vals) != 1 {
		t.Fatalf("load %s needs a rate", arg.Key)
	}
	rate, retries := strings.CutSuffix(arg.Vals[0], "!")
	if retries {
		l.retries = 10
	}
	if _, err := fmt.Sscan(rate, &l.rate); err != nil {
		t.Fatal(err)
	}
	return l
}

// sharedPool is a pool without calls: it meets demands as fast as its capacity allows.
type sharedPool struct {
	now      time.Time
	random   *rand.Rand
	loads    []*workspaceLoad
	demands  []demand
	calendar calendar
	shares   shares
}

const shareStep, shareCost = 10 * time.Millisecond, 10 * time.Millisecond

// run runs the load and returns what was granted.
func (p *sharedPool) run(d time.Duration) string {
	for _, l := range p.loads {
		l.asked, l.granted = 0, 0
	}
	for range d / shareStep {
		p.now = p.now.Add(shareStep)
		p.demands = pass(p.demands, shareStep)
		for _, i := range p.random.Perm(len(p.loads)) {
			l := p.loads[i]
			for range int(l.rate*usableShare + p.random.Float64()) {
				p.send(l)
			}
		}
	}
	var out strings.Builder
	for _, l := range p.loads {
		capacity := usableShare * float64(d)
		fmt.Fprintf(&out, "%s asked for %.2f, was granted %.2f\n", l.name, float64(l.asked)/capacity, float64(l.granted)/capacity)
	}
	return out.String()
}

// send sends one request of l, again while it is refused.
func (p *sharedPool) send(l *workspaceLoad) {
	r := &Reservation{Workspace: l.name, Pieces: 1}
	l.asked += shareCost
	for range 1 + l.retries {
		if p.now.Sub(p.shares.computedAt) >= shareInterval {
			due := append([]demand(nil), p.demands...)
			for i := range due {
				due[i].end -= time.Second
			}
			p.shares.compute(p.calendar.lateness(due, &busyTargets{}, 0) > 0, p.now)
		}
		asked := demand{end: 2 * time.Second, cost: shareCost}
		_, granted := p.calendar.decide(p.demands, &busyTargets{}, asked, p.shares.standing(r, shareCost, p.now).headroom())
		p.shares.record(r, shareCost, granted, p.now)
		if granted {
			p.demands = append(p.demands, asked)
			l.granted += shareCost
			return
		}
	}
}

// TestHeadroom runs scripted standings of one request.
func TestHeadroom(t *testing.T) {
	datadriven.RunTest(t, "testdata/headroom", func(t *testing.T, d *datadriven.TestData) string {
		s := standing{short: d.HasArg("short"), starving: d.HasArg("starving"), lessUrgent: d.HasArg("less-urgent"), level: noLevel}
		if d.HasArg("level") {
			s.level = scanTime(t, d, "level")
		}
		s.used, s.cost = scanTime(t, d, "used"), scanTime(t, d, "cost")
		return fmt.Sprintf("over %v, headroom %v\n", s.over(), s.headroom())
	})
}

// TestStarvingClass has requests of one route refused by their size while others are
// served, in a short pool. The route must be found starving, and not the others; nor must a
// workspace beyond its share gain from it.
func TestStarvingClass(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &shares{}
	large, small := &Reservation{Workspace: "a", Route: "large", Pieces: 90}, &Reservation{Workspace: "b", Route: "small", Pieces: 1}
	var charges []*charge
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		charges = append(charges, s.record(small, 20*time.Millisecond, true, now))
		s.record(large, 20*time.Millisecond, false, now)
	}
	s.compute(true, now)
	if got := s.standing(large, 20*time.Millisecond, now); !got.starving || got.headroom() != 0 {
		t.Errorf("refused route: %+v", got)
	}
	if got := s.standing(small, 20*time.Millisecond, now); got.starving || !got.over() || got.headroom() != 2*headroomStep {
		t.Errorf("served route: %+v", got)
	}
	for _, c := range charges {
		s.refund(small, c, now)
	}
	if got := s.standing(small, 20*time.Millisecond, now); got.used != 0 {
		t.Errorf("%v used after all was given back", got.used)
	}
}
