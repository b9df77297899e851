package claim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/standin"
	"github.com/cockroachdb/datadriven"
)

// script runs the commands of one data file in virtual time.
type script struct {
	cluster  *cluster
	requests map[string]*callerRequest
	keys     map[string]string
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/claims", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{requests: map[string]*callerRequest{}, keys: map[string]string{}}
			datadriven.RunTest(t, path, s.command)
			s.cluster.close()
		})
	})
}

// command runs one command. It first lets a millisecond pass, so that commands
// take effect in order.
func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	time.Sleep(time.Millisecond)
	synctest.Wait()
	switch d.Cmd {
	case "hosts":
		s.cluster = newCluster(t, make([]time.Duration, s.number(t, d, "count")))
		time.Sleep(100 * time.Millisecond)
	case "holder":
		return s.cluster.hosts[0].members.Members().Holder(streamName(partitionOf("W", s.key(s.text(t, d, "key")), testPartitions))).Name
	case "send":
		s.send(t, d)
	case "wait":
		time.Sleep(s.duration(t, d, "for"))
	case "log":
		f := standin.LogFaults{Down: d.HasArg("down"), LoseAnswers: d.HasArg("lose")}
		if d.HasArg("slow") {
			f.Slow = s.duration(t, d, "slow")
		}
		s.cluster.log.SetFaults(f)
	case "host":
		s.host(t, d)
	case "result":
		s.cluster.mu.Lock()
		defer s.cluster.mu.Unlock()
		return s.requests[s.text(t, d, "of")].describe()
	case "runs":
		return fmt.Sprint(len(s.cluster.runs[s.key(s.text(t, d, "key"))]))
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

func (s *script) send(t *testing.T, d *datadriven.TestData) {
	p := requestPlan{
		host:    s.number(t, d, "host"),
		key:     s.key(s.text(t, d, "key")),
		body:    "body",
		timeout: 5 * time.Second,
		runTime: s.duration(t, d, "run"),
		release: d.HasArg("release"),
	}
	if d.HasArg("body") {
		p.body = s.text(t, d, "body")
	}
	if d.HasArg("until") {
		p.timeout = s.duration(t, d, "until")
	}
	s.requests[s.text(t, d, "id")] = s.cluster.send(p)
}

// host changes one host: kill, start, freeze, thaw, alone (it believes that no
// other host is alive), cut=log|N; heal ends the faults of all hosts.
func (s *script) host(t *testing.T, d *datadriven.TestData) {
	n := s.number(t, d, "n")
	h := s.cluster.hosts[n]
	switch {
	case d.HasArg("kill"):
		h.kill()
	case d.HasArg("start"):
		h.start()
	case d.HasArg("freeze"):
		h.freeze()
	case d.HasArg("thaw"):
		h.thaw()
	case d.HasArg("alone"):
		h.members.set([]peer.Host{{Name: h.name, Addr: h.addr}})
	case d.HasArg("cut"):
		to := logAddr.Addr()
		if name := s.text(t, d, "cut"); name != "log" {
			to = s.cluster.hosts[s.number(t, d, "cut")].addr.Addr()
		}
		s.cluster.net.Cut(h.addr.Addr(), to)
		s.cluster.net.Cut(to, h.addr.Addr())
	case d.HasArg("heal"):
		s.cluster.heal()
	}
}

func (s *script) key(name string) string {
	if s.keys[name] == "" {
		s.keys[name] = s.cluster.key(name)
	}
	return s.keys[name]
}

func (s *script) text(t *testing.T, d *datadriven.TestData, name string) string {
	var v string
	d.ScanArgs(t, name, &v)
	return strings.TrimSpace(v)
}

func (s *script) number(t *testing.T, d *datadriven.TestData, name string) int {
	var v int
	d.ScanArgs(t, name, &v)
	return v
}

func (s *script) duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	v, err := time.ParseDuration(s.text(t, d, name))
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return v
}
