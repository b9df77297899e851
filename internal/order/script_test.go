package order

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/lease"
	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts of testdata/orders in virtual time. "first" is the
// first host that holds the shard of the engine, "another" is any other host.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/orders", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{}
			datadriven.RunTest(t, path, s.command)
			s.cluster.close()
		})
	})
}

type script struct {
	cluster     *cluster
	engine      int
	firstHolder int
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	time.Sleep(time.Millisecond)
	synctest.Wait()
	switch d.Cmd {
	case "start":
		s.cluster = newCluster(t, make([]time.Duration, 3), 2)
		if d.HasArg("ignoring") {
			s.engine = 1
		}
		name := s.cluster.hosts[0].Members().Holder(lease.ShardName(lease.ShardOf(s.cluster.engines[s.engine].Name))).Name
		fmt.Sscanf(name, "h%d", &s.firstHolder)
	case "declare":
		s.cluster.declare(d.CmdArgs[0].Key)
	case "wait":
		time.Sleep(s.duration(t, d, "for"))
	case "first":
		s.host(t, d, s.cluster.hosts[s.firstHolder])
	case "orders":
		return s.engineOrders()
	case "holder":
		return s.currentHolders()
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return ""
}

// host applies faults to the first holder or ends them.
func (s *script) host(t *testing.T, d *datadriven.TestData, h *orderHost) {
	engine := s.cluster.targets[s.engine].Addr.Addr()
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "freeze":
			h.clock.Suspend()
		case "thaw":
			h.clock.Resume()
		case "kill":
			h.kill()
		case "cutLog":
			s.cut(h, logAddr.Addr())
		case "cutEngine":
			s.cluster.net.Cut(h.addr, engine)
		case "cutAnswers":
			s.cluster.net.Cut(engine, h.addr)
		case "healEngine":
			s.cluster.healLink(h, engine)
		case "healLog":
			s.cluster.healLink(h, logAddr.Addr())
		case "delay":
			s.cluster.net.SetDelay(h.addr, engine, s.duration(t, d, "delay"))
		case "left":
			// The other hosts no longer list h as a member.
			for i, other := range s.cluster.hosts {
				if i != s.firstHolder {
					other.setMembers(s.cluster.membersWithout(s.firstHolder))
				}
			}
		}
	}
}

func (s *script) cut(h *orderHost, addr netip.Addr) {
	s.cluster.net.Cut(h.addr, addr)
	s.cluster.net.Cut(addr, h.addr)
}

// engineOrders lists the orders that the engine took, in that order.
func (s *script) engineOrders() string {
	var out []string
	fences := map[int64]int{}
	for _, o := range s.cluster.engines[s.engine].Orders() {
		if fences[o.Order.Fence] == 0 {
			fences[o.Order.Fence] = len(fences) + 1
		}
		line := fmt.Sprintf("%s under lease %d", o.Order.Model, fences[o.Order.Fence])
		if o.Stale {
			line += ", stale"
		}
		out = append(out, line)
	}
	return strings.Join(out, "\n")
}

// currentHolders lists the hosts that hold a valid lease of the shard now.
func (s *script) currentHolders() string {
	var out []string
	for _, name := range s.cluster.holders(lease.ShardOf(s.cluster.engines[s.engine].Name)) {
		if name == s.cluster.hosts[s.firstHolder].name {
			out = append(out, "first")
		} else {
			out = append(out, "another")
		}
	}
	return strings.Join(out, ", ")
}

func (s *script) duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	var text string
	d.ScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return v
}
