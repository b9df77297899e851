package scenario

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cockroachdb/datadriven"
)

// TestScripts runs each script under testdata in virtual time. The oracle checks
// every script at its end, even if the script doesn't request it.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t)
			defer cl.close()
			s := &script{cluster: cl, keysByName: map[string]string{}}
			datadriven.RunTest(t, path, s.command)
			for _, fault := range cl.check() {
				t.Error(fault)
			}
		})
	})
}

// script executes the commands of one file.
type script struct {
	*cluster
	keysByName map[string]string // idempotency keys by their name in the script
}

// command executes one command. Commands that only change the cluster print
// nothing.
//
//	standard [hosts=N]                          the cluster that standard describes
//	pool NAME [nonidempotent]
//	target NAME pool=P [slots=N] [speed=F] [engine] [ask]
//	pipeline NAME stages=(P,Q) [deadline=D]     each stage has the name of its pool
//	publish                                     publishes everything declared so far
//	declare TARGET [leaving]                    takes effect with the next publish
//	host NAME... [drain-delay=D] [drain-timeout=D] [nowait]
//	call ID host=H pipeline=P [text=T] [service=D] [tokens=N] [key=K] [stream]
//	     [deadline=D] [priority=N] [crash]      the input, if any, is the body
//	answer [attempts] ID...                     waits and prints the outcome of each
//	sleep D
//	kill|start|drain|freeze|thaw HOST, stopped HOST, ready HOST
//	gone ID                                     the caller cancels its request
//	crash TARGET
//	leave TARGET                                the list reports it as leaving
//	stale TARGET                                the list reports it as live again
//	return TARGET                               it restarts, and the list reports it as live
//	fault TARGET [answers=F] [every=N] [slow=F] [frozen] [fail] [restart=D]
//	cut FROM TO, heal FROM TO                   one direction; a name, or log, list, callers
//	log [down] [lose] [slow=D], list [down] [lag=D]
//	runs                                        prints the runs at each pool by text
//	check                                       prints the faults that the oracle finds
func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	names := flagArgs(d)
	switch d.Cmd {
	case "standard":
		s.standard(s.number(d, "hosts", "1"))
	case "pool", "target", "pipeline", "declare", "publish", "host":
		s.declare(d, names)
	case "call":
		s.send(s.call(d, names[0]))
	case "answer":
		return s.answers(names)
	case "sleep":
		time.Sleep(s.duration(names[0]))
	case "runs":
		return s.runs()
	case "check":
		return strings.Join(append(s.check(), "checked"), "\n") + "\n"
	case "ready", "stopped":
		return s.state(d.Cmd, s.hosts[names[0]])
	default:
		s.injectFault(d, names)
	}
	return ""
}

// flagArgs returns the keys of the arguments that have no value.
func flagArgs(d *datadriven.TestData) []string {
	var out []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			out = append(out, a.Key)
		}
	}
	return out
}

func (s *script) duration(text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// argValue returns the value of an argument, or fallback if it is missing.
func argValue(d *datadriven.TestData, key, fallback string) string {
	if a, ok := d.Arg(key); ok && len(a.Vals) > 0 {
		return a.Vals[0]
	}
	return fallback
}

func (s *script) number(d *datadriven.TestData, key, fallback string) int {
	var n int
	if _, err := fmt.Sscan(argValue(d, key, fallback), &n); err != nil {
		s.t.Fatal(err)
	}
	return n
}

// standard declares workers e1 to e3 of pool Encode, engines g1 to g4 of pool
// Generate and workers b1 and b2 of the non-idempotent pool Book, the pipelines
// Menu (Encode, Generate), Booking (Encode, Book), Lookup (Encode) and Draft
// (Generate), and starts hosts h1 to hN.
func (cl *cluster) standard(hosts int) {
	cl.section.Pools = []declaration.Pool{{Name: "Encode"}, {Name: "Generate"}, {Name: "Book", NonIdempotent: true}}
	for _, name := range []string{"e1", "e2", "e3", "g1", "g2", "g3", "g4", "b1", "b2"} {
		pool := map[byte]string{'e': "Encode", 'g': "Generate", 'b': "Book"}[name[0]]
		cl.addTarget(declaration.Target{Name: name, Pool: pool, Slots: 4}, 1, name[0] == 'g')
	}
	pipeline := func(name string, pools ...string) {
		p := declaration.Pipeline{Name: name, Deadline: declaration.Duration(5 * time.Second)}
		for _, pool := range pools {
			p.Stages = append(p.Stages, declaration.Stage{Name: pool, Pool: pool})
		}
		cl.section.Pipelines = append(cl.section.Pipelines, p)
	}
	pipeline("Menu", "Encode", "Generate")
	pipeline("Booking", "Encode", "Book")
	pipeline("Lookup", "Encode")
	pipeline("Draft", "Generate")
	cl.publish()
	for i := range hosts {
		cl.start(cl.addHost(fmt.Sprintf("h%d", i+1)))
	}
	time.Sleep(3 * time.Second)
}

func (s *script) declare(d *datadriven.TestData, names []string) {
	switch d.Cmd {
	case "pool":
		s.section.Pools = append(s.section.Pools, declaration.Pool{Name: names[0], NonIdempotent: d.HasArg("nonidempotent")})
	case "target":
		decl := declaration.Target{Name: names[0], Pool: argValue(d, "pool", ""), Slots: s.number(d, "slots", "4"), AskByKey: d.HasArg("ask")}
		s.addTarget(decl, float64(s.number(d, "speed", "1")), d.HasArg("engine"))
	case "pipeline":
		p := declaration.Pipeline{Name: names[0], Deadline: declaration.Duration(s.duration(argValue(d, "deadline", "5s")))}
		stages, _ := d.Arg("stages")
		for _, pool := range stages.Vals {
			p.Stages = append(p.Stages, declaration.Stage{Name: pool, Pool: pool})
		}
		s.section.Pipelines = append(s.section.Pipelines, p)
	case "declare":
		for i := range s.section.Targets {
			if t := &s.section.Targets[i]; t.Name == names[0] {
				t.Leaving = d.HasArg("leaving")
			}
		}
	case "publish":
		s.publish()
	case "host":
		for _, name := range names {
			if name == "nowait" {
				return
			}
			h := s.addHost(name)
			h.settings.DrainDelay = declaration.Duration(s.duration(argValue(d, "drain-delay", "2s")))
			h.settings.DrainTimeout = declaration.Duration(s.duration(argValue(d, "drain-timeout", "30s")))
			s.start(h)
		}
		time.Sleep(3 * time.Second)
	}
}

func (s *script) call(d *datadriven.TestData, id string) *call {
	c := &call{
		id: id, host: argValue(d, "host", ""), pipeline: argValue(d, "pipeline", ""), stream: d.HasArg("stream"), body: d.Input,
		priority: argValue(d, "priority", ""),
		deadline: s.duration(argValue(d, "deadline", "0s")),
		work: contract.Work{
			Text: argValue(d, "text", id), Tokens: s.number(d, "tokens", "0"),
			Service: s.duration(argValue(d, "service", "10ms")), Crash: d.HasArg("crash"),
		},
	}
	if name := argValue(d, "key", ""); name != "" {
		if s.keysByName[name] == "" {
			s.keysByName[name] = s.newKey()
		}
		c.key = s.keysByName[name]
	}
	return c
}

func (s *script) answers(ids []string) string {
	var b strings.Builder
	for _, id := range ids {
		if id == "attempts" {
			continue
		}
		c := s.calls[id]
		<-c.done
		fmt.Fprintf(&b, "%s: %s\n", id, c.describe(ids[0] == "attempts"))
	}
	return b.String()
}

func (s *script) state(kind string, h *testHost) string {
	if kind == "ready" {
		resp, err := s.client.Get("http://" + h.settings.CallerAddr.String() + "/v1/ready")
		if err != nil {
			return "unreachable\n"
		}
		defer resp.Body.Close()
		return fmt.Sprintln(resp.StatusCode)
	}
	if h.ended() {
		return "stopped\n"
	}
	return "running\n"
}

func (s *script) injectFault(d *datadriven.TestData, names []string) {
	h, target := s.hosts[firstName(names)], s.targets[firstName(names)]
	switch d.Cmd {
	case "kill":
		s.kill(h)
	case "start":
		s.start(h)
	case "drain":
		h.stop()
	case "freeze":
		s.freeze(h)
	case "thaw":
		s.thaw(h)
	case "crash":
		target.server.Crash()
	case "gone":
		s.calls[names[0]].cancel()
	case "stale":
		s.setHostList(names[0])
	case "leave":
		s.markLeaving(target)
	case "return":
		target.server.Crash()
		target.leftAt = time.Time{}
		s.setHostList()
	case "cut":
		s.network.Cut(s.addr(names[0]), s.addr(names[1]))
	case "heal":
		s.network.Heal(s.addr(names[0]), s.addr(names[1]))
	case "fault":
		target.server.SetFaults(s.targetFaults(d))
	case "log":
		s.log.SetFaults(standin.LogFaults{Down: d.HasArg("down"), LoseAnswers: d.HasArg("lose"), Slow: s.duration(argValue(d, "slow", "0s"))})
	case "list":
		s.list.SetFaults(standin.HostListFaults{Down: d.HasArg("down")})
	default:
		s.t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
}

func firstName(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

func (s *script) targetFaults(d *datadriven.TestData) standin.TargetFaults {
	return standin.TargetFaults{
		Answers:      standin.AnswerFault(argValue(d, "answers", "")),
		AnswersEvery: s.number(d, "every", "0"),
		Slow:         float64(s.number(d, "slow", "0")),
		Frozen:       d.HasArg("frozen"),
		Fail:         d.HasArg("fail"),
		Restart:      s.duration(argValue(d, "restart", "0s")),
	}
}

// runs formats the number of runs that reached each pool, by text.
func (s *script) runs() string {
	count := map[string]int{}
	for _, r := range s.trace.list() {
		count[r.work.Text+" "+s.targets[r.target].pool]++
	}
	var lines []string
	for name, n := range count {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}
