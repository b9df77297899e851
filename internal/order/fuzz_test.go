package order

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/fuzzing"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/internal/standin"
	"pgregory.net/rapid"
)

// Sizes of the fuzz test. A longer run:
//
//	go test ./internal/order -run TestFuzz -rapid.checks=2000 -rapid.seed=N
const (
	fuzzSteps = 100
	ciChecks  = "30"
	ciSeed    = "8"
)

// settleTime covers the term of a lease, the wait before the first order, and a
// few reconciliations.
const settleTime = lease.Term + MaxOrderTime + 6*reconcilePeriod

func TestMain(m *testing.M) { fuzzing.Main(m, ciSeed, ciChecks) }

type step struct {
	Action string
	Host   int
	Engine int
	Pause  time.Duration
	Delay  time.Duration
}

var operations = []string{
	"declare", "declare", "declare", "declare", "kill", "start", "start", "freeze", "freeze", "thaw", "thaw",
	"cutLog", "cutLog", "cutEngine", "cutEngine", "loseAnswers", "slowEngine", "slowEngine", "heal", "heal", "heal", "heal",
	"members", "logDown", "logLose", "logSlow", "logStale", "logUp", "logUp", "logUp",
}

func drawSteps(t *rapid.T) []step {
	steps := make([]step, fuzzSteps)
	for i := range steps {
		steps[i] = step{
			Action: rapid.SampledFrom(operations).Draw(t, "action"),
			Host:   rapid.IntRange(0, 2).Draw(t, "host"),
			Engine: rapid.IntRange(0, 3).Draw(t, "engine"),
			Pause:  time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond,
			Delay:  time.Duration(rapid.IntRange(1, 2900).Draw(t, "delay")) * time.Millisecond,
		}
	}
	return steps
}

// TestFuzzOrders applies random faults and changes of the declaration. It checks
// after each step that no order of an earlier holder took effect after one of a
// later holder, and at the end that every target has its declared models.
func TestFuzzOrders(t *testing.T) {
	orders := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, []time.Duration{0, lease.MaxSkew / 2, -lease.MaxSkew / 2}, 4)
			for i := range steps {
				c.runStep(&steps[i], fmt.Sprintf("m%d", i+2))
				time.Sleep(steps[i].Pause)
				violations = append(violations, c.violations()...)
			}
			c.heal()
			for _, h := range c.hosts {
				h.start()
			}
			time.Sleep(settleTime)
			violations = append(append(violations, c.violations()...), c.missingModels()...)
			for _, e := range c.engines {
				orders += len(e.Orders())
			}
			c.close()
		})
		for _, v := range violations {
			rt.Fatalf("%s", v)
		}
	})
	t.Logf("%d orders taken", orders)
	if orders == 0 {
		t.Error("no order was taken")
	}
}

// runStep performs one operation.
func (c *cluster) runStep(s *step, model string) {
	h, t := c.hosts[s.Host], c.targets[s.Engine]
	switch s.Action {
	case "declare":
		c.declare(model)
	case "kill":
		h.kill()
	case "start":
		h.start()
	case "freeze":
		h.clock.Suspend()
	case "thaw":
		h.clock.Resume()
	case "cutLog":
		c.net.Cut(h.addr, logAddr.Addr())
	case "cutEngine":
		c.net.Cut(h.addr, t.Addr.Addr())
	case "loseAnswers":
		c.net.Cut(t.Addr.Addr(), h.addr)
	case "slowEngine":
		c.net.SetDelay(h.addr, t.Addr.Addr(), s.Delay)
	case "heal":
		c.healLink(h, t.Addr.Addr())
		c.healLink(h, logAddr.Addr())
	case "members":
		h.setMembers(c.membersWithout(s.Engine))
	case "logDown":
		c.log.SetFaults(standin.LogFaults{Down: true})
	case "logLose":
		c.log.SetFaults(standin.LogFaults{LoseAnswers: true})
	case "logSlow":
		c.log.SetFaults(standin.LogFaults{Slow: s.Delay})
	case "logStale":
		c.log.SetFaults(standin.LogFaults{StaleBy: 3 * s.Delay})
	case "logUp":
		c.log.SetFaults(standin.LogFaults{})
	}
}
