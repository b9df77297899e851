package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/fuzzing"
	"berylswitch.example/berylswitch/internal/standin"
	"pgregory.net/rapid"
)

// Sizes of the fuzz test: 42 runs of 250 steps in CI. A longer run:
//
//	go test ./internal/claim -run TestFuzz -rapid.checks=4000 -rapid.seed=N
const (
	fuzzHosts = 4
	fuzzSteps = 250
	ciChecks  = "42"
	ciSeed    = "4"
)

func TestMain(m *testing.M) { fuzzing.Main(m, ciSeed, ciChecks) }

// step is one randomly drawn operation and the pause after it.
type step struct {
	Action string
	Plan   requestPlan
	Host   int
	Other  int
	Key    int
	Pause  time.Duration
	Slow   time.Duration
}

// operations is sampled uniformly: an operation that is listed more often is
// drawn more often.
var operations = []string{
	"send", "send", "send", "send", "send", "send", "send", "send", "repeat", "repeat", "repeat",
	"kill", "start", "start", "freeze", "thaw", "thaw", "cut", "cutLog", "heal", "members",
	"logDown", "logLose", "logSlow", "logUp", "logUp", "logUp",
}

func drawSteps(t *rapid.T) []step {
	host := rapid.IntRange(0, fuzzHosts-1)
	millis := func(label string, high int) time.Duration {
		return time.Duration(rapid.IntRange(1, high).Draw(t, label)) * time.Millisecond
	}
	steps := make([]step, fuzzSteps)
	for i := range steps {
		s := &steps[i]
		s.Action = rapid.SampledFrom(operations).Draw(t, "action")
		s.Host, s.Other = host.Draw(t, "host"), host.Draw(t, "other")
		s.Key = i/20 + rapid.IntRange(0, 2).Draw(t, "key")
		if s.Action == "repeat" {
			s.Key = max(0, s.Key-rapid.IntRange(2, 8).Draw(t, "older"))
		}
		s.Pause = millis("pause", 250)
		s.Slow = millis("slow", 2000)
		s.Plan = requestPlan{
			host:      s.Host,
			body:      rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
			timeout:   millis("timeout", 4000),
			runTime:   millis("runTime", 2000),
			sendDelay: millis("sendDelay", 300),
			release:   rapid.IntRange(0, 4).Draw(t, "release") == 0,
		}
	}
	return steps
}

// TestFuzzAtMostOnce runs random operations and faults in virtual time and checks
// the result with the oracle.
func TestFuzzAtMostOnce(t *testing.T) {
	total := outcomeCounts{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, []time.Duration{0, MaxSkew / 2, -MaxSkew / 2, 0})
			keys := map[int]string{}
			time.Sleep(200 * time.Millisecond)
			for i := range steps {
				c.runStep(&steps[i], keys)
				time.Sleep(steps[i].Pause)
			}
			violations = c.checkAll(keys, &total)
			c.close()
		})
		for _, v := range violations {
			rt.Errorf("%s", v)
		}
	})
	t.Logf("%+v", total)
	if total.Runs == 0 || total.Repeats == 0 || total.Unknown == 0 {
		t.Errorf("the drawn steps gave no run, no repeat or no unknown outcome: %+v", total)
	}
}

// runStep performs one operation.
func (c *cluster) runStep(s *step, keys map[int]string) {
	h, other := c.hosts[s.Host], c.hosts[s.Other]
	switch s.Action {
	case "send", "repeat":
		if keys[s.Key] == "" {
			keys[s.Key] = c.key(fmt.Sprint(s.Key))
		}
		s.Plan.key = keys[s.Key]
		c.send(s.Plan)
	case "kill":
		h.kill()
	case "start":
		h.start()
	case "freeze":
		h.freeze()
	case "thaw":
		h.thaw()
	case "cut":
		c.net.Cut(h.addr.Addr(), other.addr.Addr())
	case "cutLog":
		c.net.Cut(h.addr.Addr(), logAddr.Addr())
	case "heal":
		c.net.Heal(h.addr.Addr(), other.addr.Addr())
		c.net.Heal(h.addr.Addr(), logAddr.Addr())
	case "members":
		h.members.set(c.membersWithout(map[int]bool{s.Other: s.Other != s.Host}))
	case "logDown":
		c.log.SetFaults(standin.LogFaults{Down: true})
	case "logLose":
		c.log.SetFaults(standin.LogFaults{LoseAnswers: true})
	case "logSlow":
		c.log.SetFaults(standin.LogFaults{Slow: s.Slow})
	case "logUp":
		c.log.SetFaults(standin.LogFaults{})
	}
}
