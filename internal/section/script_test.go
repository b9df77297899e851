package section

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cockroachdb/datadriven"
)

// TestHosts runs the scripts under testdata/hosts in virtual time, each against a
// new cluster.
func TestHosts(t *testing.T) {
	datadriven.Walk(t, "testdata/hosts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &hostScript{}
			defer s.close()
			datadriven.RunTest(t, path, s.command)
		})
	})
}

type hostScript struct {
	cluster *cluster
	editor  *platform.Client
}

func (s *hostScript) close() {
	s.cluster.heal()
	s.cluster.close()
	s.editor.HTTP.CloseIdleConnections()
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func (s *hostScript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "hosts":
		latest := make([]int, number(t, d, "n"))
		for i := range latest {
			latest[i] = declaration.LatestRule
		}
		if d.HasArg("old") {
			latest[number(t, d, "old")] = declaration.FirstRule
		}
		s.cluster = newCluster(len(latest), latest...)
		s.editor = s.cluster.client(editorsAddr)
	case "wait":
		var text string
		d.ScanArgs(t, "for", &text)
		wait, err := time.ParseDuration(text)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		time.Sleep(wait)
		synctest.Wait()
	case "publish":
		return s.publish(t, d)
	case "rule":
		s.cluster.append(s.editor, platform.Entry{ID: "rule", Kind: RuleKind, Data: []byte(`{"Version":2}`)}, 1)
	case "log":
		s.cluster.log.SetFaults(standin.LogFaults{Down: d.HasArg("down"), Hang: d.HasArg("hang")})
	case "host":
		s.host(t, d)
	case "show":
		return s.show(t, d)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

func (s *hostScript) publish(t *testing.T, d *datadriven.TestData) string {
	var id string
	c := declaration.Change{Author: "ann", Text: declaration.Text(d.Input), Removed: d.HasArg("removed")}
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "section", &c.Section)
	c.Base = int64(s.cluster.hosts[number(t, d, "base")].follower.State().Revision(c.Section))
	s.cluster.publish(s.editor, id, c, 1)
	return ""
}

func (s *hostScript) host(t *testing.T, d *datadriven.TestData) {
	h := s.cluster.hosts[number(t, d, "i")]
	addr := h.self.Addr.Addr()
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "i":
		case "cut-log", "heal-log":
			s.cluster.cutLog(h.index, arg.Key == "cut-log")
		case "cut-peers", "heal-peers":
			s.cluster.cutPeers(h.index, arg.Key == "cut-peers")
		case "stale-reads":
			s.cluster.log.SetFaultsFor(addr, standin.LogFaults{StaleReads: true})
		case "freeze":
			h.clock.Suspend()
		case "resume":
			h.clock.Resume()
		case "stop":
			h.stop()
		case "start":
			h.start()
		default:
			d.Fatalf(t, "unknown argument %s", arg.Key)
		}
	}
}

// show prints what is in force at each host. The argument offsets adds the offsets
// in force, first adds each host's first state, and records adds the records that
// the log keeps.
func (s *hostScript) show(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	for _, h := range s.cluster.hosts {
		fmt.Fprintf(&b, "%s:", h.self.Name)
		if st := h.follower.State(); st == nil {
			b.WriteString(" no state")
		} else {
			if d.HasArg("offsets") {
				fmt.Fprintf(&b, " offset %d", st.Offset)
			}
			fmt.Fprintf(&b, " rule %d", st.Rule)
			for _, name := range st.Names() {
				fmt.Fprintf(&b, " %s=%s", name, st.Entry(name).ChangeID)
			}
		}
		if h.follower.Stale(time.Now()) {
			b.WriteString(" stale")
		}
		b.WriteString("\n")
	}
	if d.HasArg("first") {
		s.writeFirstStates(&b)
	}
	if d.HasArg("records") {
		for _, r := range s.cluster.log.Records(platform.ConfigStream) {
			fmt.Fprintf(&b, "%d %s %s\n", r.Offset, r.Kind, r.ID)
		}
	}
	return b.String()
}

// writeFirstStates writes the first state of each host's current incarnation.
func (s *hostScript) writeFirstStates(b *strings.Builder) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, h := range s.cluster.hosts {
		i := slices.IndexFunc(s.cluster.observed, func(e observedState) bool { return e.host == h.index && e.incarnation == h.incarnation })
		if i >= 0 {
			fmt.Fprintf(b, "%s started with offset %d\n", h.self.Name, s.cluster.observed[i].state.Offset)
		}
	}
}
