package scenario

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/fuzzing"
	"berylswitch.example/berylswitch/internal/standin"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Default seed and number of checks of the fuzz test; -rapid.seed and
// -rapid.checks override them.
const (
	fixedSeed   = "20260101"
	fixedChecks = "30"
)

func TestMain(m *testing.M) { fuzzing.Main(m, fixedSeed, fixedChecks) }

// operation is one drawn step. Kind determines which of the other fields are used.
type operation struct {
	Kind     string
	Host     int
	Target   int
	Call     int
	Text     int
	Wait     time.Duration
	Work     time.Duration
	Tokens   int
	Pipeline string
	Stream   bool
	Fault    string
}

// fuzzHosts is the number of hosts of the cluster.
const fuzzHosts = 3

var fuzzTargets = []string{"e1", "e2", "e3", "g1", "g2", "g3", "g4", "b1", "b2"}

// operationKinds lists the kinds to draw from; frequent ones are repeated.
var operationKinds = []string{
	"call", "call", "call", "call", "call", "repeat", "repeat", "bad", "wait", "wait",
	"gone", "kill", "start", "drain", "freeze", "thaw", "cut", "heal", "log", "lose", "mend",
	"list", "leave", "return", "crash", "answers", "restart",
}

func drawOperations(t *rapid.T) []operation {
	one := rapid.Custom(func(t *rapid.T) operation {
		return operation{
			Kind:     rapid.SampledFrom(operationKinds).Draw(t, "kind"),
			Host:     rapid.IntRange(1, fuzzHosts).Draw(t, "host"),
			Target:   rapid.IntRange(0, len(fuzzTargets)-1).Draw(t, "target"),
			Call:     rapid.IntRange(0, 99).Draw(t, "call"),
			Wait:     time.Duration(rapid.IntRange(0, 2500).Draw(t, "wait")) * time.Millisecond,
			Work:     time.Duration(rapid.IntRange(0, 1500).Draw(t, "work")) * time.Millisecond,
			Tokens:   rapid.IntRange(1, 40).Draw(t, "tokens"),
			Pipeline: rapid.SampledFrom([]string{"Menu", "Booking", "Booking", "Lookup", "Draft"}).Draw(t, "pipeline"),
			Stream:   rapid.Bool().Draw(t, "stream"),
			Fault:    rapid.SampledFrom([]string{"", "Foreign", "Doubled", "Truncated", "OutOfOrder", "Garbled"}).Draw(t, "fault"),
		}
	})
	return rapid.SliceOfN(one, 20, 80).Draw(t, "operations")
}

// TestFuzz runs random requests, repeats and faults on whole hosts. The oracle
// compares the answers that callers received with the runs that reached the
// targets.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := drawOperations(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t)
			defer cl.close()
			cl.standard(fuzzHosts)
			f := &fuzzRunner{cluster: cl}
			for i, o := range ops {
				f.execute(i, o)
				time.Sleep(o.Wait / 10)
			}
			f.settle()
			faults = cl.check()
		})
		if diff := cmp.Diff([]string(nil), faults); diff != "" {
			rt.Fatalf("faults (-want +got):\n%s", diff)
		}
	})
}

// fuzzRunner executes operations on a cluster.
type fuzzRunner struct {
	*cluster
	sentCalls []*call
	frozen    *testHost
	cutLink   [2]netip.Addr
}

func (f *fuzzRunner) execute(i int, o operation) {
	h, s := f.hosts[fmt.Sprintf("h%d", o.Host)], f.targets[fuzzTargets[o.Target]]
	switch o.Kind {
	case "call", "bad", "repeat", "gone":
		f.request(i, o, h)
	case "wait":
		time.Sleep(o.Wait)
	case "kill", "start", "drain", "freeze", "thaw":
		f.hostFault(o, h)
	case "cut":
		f.heal()
		f.cutLink = [2]netip.Addr{h.addr, f.otherEnd(o, s)}
		f.network.Cut(f.cutLink[o.Call%2], f.cutLink[1-o.Call%2])
	case "heal":
		f.heal()
	case "log":
		f.log.SetFaults(standin.LogFaults{Down: true})
	case "lose":
		f.log.SetFaults(standin.LogFaults{LoseAnswers: true})
	case "mend":
		f.log.SetFaults(standin.LogFaults{})
		f.list.SetFaults(standin.HostListFaults{})
	case "list":
		f.list.SetFaults(standin.HostListFaults{Down: true})
	case "leave":
		if s.leftAt.IsZero() {
			f.markLeaving(s)
		}
	case "return":
		if !s.leftAt.IsZero() {
			s.server.Crash()
			s.leftAt = time.Time{}
			f.setHostList()
		}
	case "crash":
		s.server.Crash()
	case "answers":
		s.server.SetFaults(standin.TargetFaults{Answers: standin.AnswerFault(o.Fault)})
	case "restart":
		s.server.SetFaults(standin.TargetFaults{Restart: o.Wait})
	}
}

// otherEnd returns the address at the other end of a link to cut: the host list,
// the log, another host or a target.
func (f *fuzzRunner) otherEnd(o operation, s *testTarget) netip.Addr {
	switch o.Call % 4 {
	case 0:
		return listAddr.Addr()
	case 1:
		return logAddr.Addr()
	case 2:
		return f.hosts[fmt.Sprintf("h%d", o.Host%fuzzHosts+1)].addr
	}
	return s.addr.Addr()
}

// request sends a new request, repeats an earlier one or cancels one.
func (f *fuzzRunner) request(i int, o operation, h *testHost) {
	if o.Kind == "gone" || o.Kind == "repeat" {
		if len(f.sentCalls) == 0 {
			return
		}
		old := f.sentCalls[o.Call%len(f.sentCalls)]
		if o.Kind == "gone" {
			old.cancel()
			return
		}
		f.sendAndRecord(&call{id: fmt.Sprintf("c%d", i), host: h.name, pipeline: old.pipeline, key: old.key, stream: old.stream, work: old.work})
		return
	}
	c := &call{id: fmt.Sprintf("c%d", i), host: h.name, pipeline: o.Pipeline, stream: o.Stream}
	c.work = contract.Work{Text: c.id, Service: o.Work, Tokens: o.Tokens}
	if o.Kind == "bad" {
		c.work = contract.Work{Text: "bad", Service: 50 * time.Millisecond, Tokens: 2, Crash: true}
	}
	if c.pipeline == "Booking" {
		c.key = f.newKey()
	}
	f.sendAndRecord(c)
}

func (f *fuzzRunner) sendAndRecord(c *call) {
	f.sentCalls = append(f.sentCalls, c)
	f.send(c)
}

func (f *fuzzRunner) hostFault(o operation, h *testHost) {
	switch o.Kind {
	case "kill":
		if h != f.frozen {
			f.kill(h)
		}
	case "start":
		if h.network.closed.Load() || h.ended() {
			f.start(h)
		}
	case "drain":
		if h != f.frozen {
			h.stop()
		}
	case "freeze":
		if f.frozen == nil && !h.network.closed.Load() {
			f.frozen = h
			f.freeze(h)
		}
	case "thaw":
		f.thawFrozen()
	}
}

func (f *fuzzRunner) thawFrozen() {
	if f.frozen != nil {
		f.thaw(f.frozen)
		f.frozen = nil
	}
}

// heal heals the link that is cut, if any.
func (f *fuzzRunner) heal() {
	if f.cutLink[0].IsValid() {
		f.network.Heal(f.cutLink[0], f.cutLink[1])
		f.network.Heal(f.cutLink[1], f.cutLink[0])
		f.cutLink = [2]netip.Addr{}
	}
}

// settleTime exceeds the time that any request may take after the last fault.
const settleTime = 20 * time.Second

// settle ends all faults and waits long enough for every call to end.
func (f *fuzzRunner) settle() {
	f.thawFrozen()
	f.heal()
	f.log.SetFaults(standin.LogFaults{})
	f.list.SetFaults(standin.HostListFaults{})
	for _, s := range f.targets {
		s.server.SetFaults(standin.TargetFaults{})
	}
	time.Sleep(settleTime)
}
