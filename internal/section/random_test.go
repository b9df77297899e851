package section

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Parameters of a random run.
const (
	numHosts      = 4
	maxSteps      = 40
	maxStepWait   = 2500 * time.Millisecond
	maxFaultTime  = 9 * time.Second
	recoveryTime  = 5 * time.Second // the promised time to converge after the last fault
	pastRetention = testRetention + 5*time.Second
	numSections   = 3
	recorderLag   = 100 * time.Millisecond
)

// step is one random operation. Faults end by themselves after For. The last
// host is exposed only to faults of the whole log, so that at least one host
// reads each record within the retention.
type step struct {
	Kind    string
	Host    int
	Section int
	Variant int
	// BaseFrom is the host from whose state the editor takes the base revision.
	BaseFrom int
	Copies   int
	For      time.Duration
	Wait     time.Duration
}

var stepKinds = []string{
	"Publish", "Publish", "Publish", "Publish", "Publish", "Race", "Race", "Rule",
	"CutLog", "CutPeers", "Freeze", "Restart", "StaleReads", "LagReads", "LogDown", "LogHangs", "LoseAnswers", "DropAppends",
}

func drawSteps(t *rapid.T) []step {
	duration := func(limit time.Duration, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(t, label)) * time.Millisecond
	}
	steps := make([]step, rapid.IntRange(1, maxSteps).Draw(t, "Steps"))
	for i := range steps {
		steps[i] = step{
			Kind:     rapid.SampledFrom(stepKinds).Draw(t, "Kind"),
			Host:     rapid.IntRange(0, numHosts-2).Draw(t, "Host"),
			Section:  rapid.IntRange(0, numSections-1).Draw(t, "Section"),
			Variant:  rapid.IntRange(0, len(variants)-1).Draw(t, "Variant"),
			BaseFrom: rapid.IntRange(0, numHosts-1).Draw(t, "BaseFrom"),
			Copies:   rapid.IntRange(1, 2).Draw(t, "Copies"),
			For:      duration(maxFaultTime, "For"),
			Wait:     duration(maxStepWait, "Wait"),
		}
	}
	return steps
}

// clusterRun is a cluster to which random steps are applied.
type clusterRun struct {
	cluster  *cluster
	editor   *platform.Client
	variants map[string]int
	changes  int
}

// TestDrawnRuns checks promise 4 under random operations and faults: offsets in
// force never decrease, every state in force equals the oracle's at its offset,
// and all hosts converge within recoveryTime after the last fault.
func TestDrawnRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		old := rapid.Bool().Draw(rt, "OldRelease")
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = runSteps(steps, old) })
		if len(failures) > 0 {
			rt.Fatalf("%d failures, first: %s", len(failures), failures[0])
		}
	})
}

func runSteps(steps []step, old bool) []string {
	latest := []int{declaration.LatestRule}
	if old {
		latest[0] = declaration.FirstRule
	}
	r := &clusterRun{cluster: newCluster(numHosts, latest...), variants: map[string]int{}}
	r.editor = r.cluster.client(editorsAddr)
	time.Sleep(2 * time.Second)
	for _, s := range steps {
		r.runStep(s)
		time.Sleep(s.Wait)
	}
	r.cluster.heal()
	time.Sleep(recoveryTime)
	failures := r.check()
	failures = append(failures, r.checkColdStart()...)
	r.cluster.close()
	r.editor.HTTP.CloseIdleConnections()
	return failures
}

func (r *clusterRun) runStep(s step) {
	h := r.cluster.hosts[s.Host]
	addr := h.self.Addr.Addr()
	undoLater := func(undo func()) { time.AfterFunc(s.For, undo) }
	logFaults := func(f standin.LogFaults) {
		r.cluster.log.SetFaults(f)
		undoLater(func() { r.cluster.log.SetFaults(standin.LogFaults{}) })
	}
	readFaults := func(f standin.LogFaults) {
		r.cluster.log.SetFaultsFor(addr, f)
		undoLater(func() { r.cluster.log.SetFaultsFor(addr, standin.LogFaults{}) })
	}
	switch s.Kind {
	case "Publish":
		r.publish(s, s.Section)
	case "Race":
		r.publish(s, s.Section)
		r.publish(s, (s.Section+s.Copies-1)%numSections)
	case "Rule":
		r.cluster.wg.Go(func() {
			r.cluster.append(r.editor, platform.Entry{ID: fmt.Sprint("rule", r.cluster.hosts[0].incarnation), Kind: RuleKind, Data: []byte(`{"Version":2}`)}, 1)
		})
	case "CutLog":
		r.cluster.cutLog(s.Host, true)
		undoLater(func() { r.cluster.cutLog(s.Host, false) })
	case "CutPeers":
		r.cluster.cutPeers(s.Host, true)
		undoLater(func() { r.cluster.cutPeers(s.Host, false) })
	case "Freeze":
		clock := h.clock
		clock.Suspend()
		undoLater(clock.Resume)
	case "Restart":
		h.stop()
		h.start()
	case "StaleReads":
		readFaults(standin.LogFaults{StaleReads: true})
	case "LagReads":
		readFaults(standin.LogFaults{StaleBy: s.Wait})
	case "LogDown":
		logFaults(standin.LogFaults{Down: true})
	case "LogHangs":
		logFaults(standin.LogFaults{Hang: true})
	case "LoseAnswers":
		logFaults(standin.LogFaults{LoseAnswers: true})
	case "DropAppends":
		logFaults(standin.LogFaults{DropAppends: true})
	default:
		panic("unexpected step " + s.Kind)
	}
}

// publish has an editor send a change based on what one host has in force.
func (r *clusterRun) publish(s step, section int) {
	name := string(rune('A' + section))
	v := &variants[s.Variant]
	r.changes++
	id := fmt.Sprintf("c%d", r.changes)
	r.variants[id] = s.Variant
	c := declaration.Change{Section: name, Author: "editor", Removed: v.removed}
	if !v.removed {
		c.Text = declaration.Text(v.text(name))
	}
	if st := r.cluster.hosts[s.BaseFrom].follower.State(); st != nil {
		c.Base = int64(st.Revision(name))
	}
	r.cluster.wg.Go(func() { r.cluster.publish(r.editor, id, c, s.Copies) })
}

// check compares every state that was in force at any host with the oracle.
func (r *clusterRun) check() []string {
	cl := r.cluster
	cl.mu.Lock()
	states := cl.observed
	cl.mu.Unlock()
	time.Sleep(recorderLag) // lets the history include the records of these states
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var failures []string
	type hostRun struct{ host, incarnation int }
	last := map[hostRun]platform.Offset{}
	inForce, final := r.replay()
	for _, s := range states {
		key := hostRun{s.host, s.incarnation}
		if s.state.Offset < last[key] {
			failures = append(failures, fmt.Sprintf("host %d: offset %d in force after %d", s.host, s.state.Offset, last[key]))
		}
		last[key] = s.state.Offset
		if int(s.state.Offset) >= len(inForce) {
			failures = append(failures, fmt.Sprintf("host %d: offset %d beyond the stream's %d", s.host, s.state.Offset, len(inForce)-1))
			continue
		}
		if diff := cmp.Diff(inForce[s.state.Offset], changeIDs(s.state)); diff != "" {
			failures = append(failures, fmt.Sprintf("host %d at %d (-want +got):\n%s", s.host, s.state.Offset, diff))
		}
	}
	for _, h := range cl.hosts {
		failures = append(failures, checkFinal(h, final, inForce[len(inForce)-1])...)
	}
	return failures
}

// replay returns what is in force after each offset, and the final oracle.
func (r *clusterRun) replay() ([]map[string]string, *oracle) {
	o := newOracle(r.variants)
	out := []map[string]string{{}}
	for i := range r.cluster.history {
		if got := r.cluster.history[i].Offset; int(got) != i+1 {
			panic(fmt.Sprintf("history has offset %d at index %d", got, i))
		}
		o.apply(&r.cluster.history[i])
		out = append(out, maps.Clone(o.inForce))
	}
	return out, o
}

// changeIDs returns the change ID of each section in force.
func changeIDs(s *State) map[string]string {
	out := map[string]string{}
	for _, name := range s.Names() {
		out[name] = s.Entry(name).ChangeID
	}
	return out
}

// checkFinal checks a host after the last fault has healed.
func checkFinal(h *testHost, o *oracle, want map[string]string) []string {
	s := h.follower.State()
	if h.latestRule == declaration.FirstRule && o.rule > declaration.FirstRule {
		if !h.follower.Stale(time.Now()) {
			return []string{fmt.Sprintf("host %d does not know rule 2 but is not stale", h.index)}
		}
		return nil
	}
	if s == nil {
		return []string{fmt.Sprintf("host %d has no state", h.index)}
	}
	var failures []string
	if diff := cmp.Diff(want, changeIDs(s)); diff != "" {
		failures = append(failures, fmt.Sprintf("host %d at the end, offset %d (-want +got):\n%s", h.index, s.Offset, diff))
	}
	for id, kind := range o.verdicts {
		if v := s.Verdict(id); v == nil || v.Kind != kind {
			failures = append(failures, fmt.Sprintf("host %d: verdict on %s is %v, want %s", h.index, id, v, kind))
		}
	}
	if h.follower.Stale(time.Now()) {
		failures = append(failures, fmt.Sprintf("host %d is stale after the last fault", h.index))
	}
	return failures
}

// checkColdStart waits for the log's retention to pass, then restarts a host that
// can't reach its peers and checks its state.
func (r *clusterRun) checkColdStart() []string {
	time.Sleep(pastRetention)
	h := r.cluster.hosts[1]
	r.cluster.cutPeers(h.index, true)
	h.stop()
	h.start()
	time.Sleep(recoveryTime)
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	inForce, o := r.replay()
	return checkFinal(h, o, inForce[len(inForce)-1])
}
