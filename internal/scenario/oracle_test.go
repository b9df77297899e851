package scenario

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// leaveBound is the time from the host list's word to the last new work.
const leaveTimeout = 5 * time.Second

// maxFalls is the number of targets that may fall to one body.
const maxCrashedTargets = 2

// targetName matches the name of a worker in an output.
var targetNamePattern = regexp.MustCompile(`\w+\(`)

// nameless removes the names of targets from an output.
func removeTargetNames(output string) string { return targetNamePattern.ReplaceAllString(output, "(") }

// check compares what callers were told with what reached the targets and
// returns every fault that it finds, sorted.
func (w *cluster) check() []string {
	var faults []string
	report := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	runs := w.trace.list()
	traced := map[string]int{}
	once := map[string]int{}
	for _, r := range runs {
		traced[r.run.RequestID]++
		if r.run.Key != "" {
			once[r.run.Key]++
		}
		if s := w.targets[r.target]; !s.leftAt.IsZero() && r.at.After(s.leftAt.Add(leaveTimeout)) {
			report("target %s got run of %s %v after it was leaving", r.target, r.work.Text, r.at.Sub(s.leftAt))
		}
	}
	checkCrashes(runs, report)
	for _, c := range w.calls {
		if !c.ended() {
			report("%s is still waiting", c.id)
			continue
		}
		w.checkCall(c, traced, once, report)
	}
	sort.Strings(faults)
	return faults
}

// checkFalls checks that no body took more than maxFalls targets, or,
// where more runs of it were under way at the first fall, than those.
func checkCrashes(runs []tracedRun, report func(string, ...any)) {
	first := map[string]time.Time{}
	fallen := map[string]map[string]bool{}
	for _, r := range runs {
		text := r.work.Text
		if r.crashedIncarnation == "" {
			continue
		}
		if fallen[text] == nil {
			fallen[text] = map[string]bool{}
			first[text] = r.ended
		}
		fallen[text][r.target+"/"+r.crashedIncarnation] = true
		if r.ended.Before(first[text]) {
			first[text] = r.ended
		}
	}
	for text, targets := range fallen {
		running := 0
		for _, r := range runs {
			if r.work.Text == text && r.at.Before(first[text]) && (r.ended.IsZero() || !r.ended.Before(first[text])) {
				running++
			}
		}
		if len(targets) > max(maxCrashedTargets, running) {
			report("body %s crashed %d targets, %d ran at the first fall", text, len(targets), running)
		}
	}
}

// checkCall checks the answer of one call.
func (w *cluster) checkCall(c *call, traced, once map[string]int, report func(string, ...any)) {
	if n := once[c.key]; c.key != "" && n > 1 {
		report("key of %s ran %d times", c.id, n)
	}
	a := c.answer
	if a == nil {
		return
	}
	if a.Ran == result.RanNo && traced[a.RequestID] > 0 {
		report("%s was told that nothing ran, but %d runs reached targets", c.id, traced[a.RequestID])
	}
	if a.Code != result.OK {
		return
	}
	if want := w.wantOutput(c); removeTargetNames(a.Output) != want {
		report("%s got %q, not its own whole answer %q", c.id, a.Output, want)
	}
	if c.stream && !a.Repeated && c.streamed != a.Output {
		report("%s streamed %q but the answer is %q", c.id, c.streamed, a.Output)
	}
	if c.key != "" && once[c.key] != 1 {
		report("key of %s has an answer but ran %d times", c.id, once[c.key])
	}
}

// output is the answer that c must get, without the names of targets.
func (w *cluster) wantOutput(c *call) string {
	var stages []string
	for _, p := range w.section.Pipelines {
		if p.Name != c.pipeline {
			continue
		}
		for _, s := range p.Stages {
			stages = append(stages, w.wantStageOutput(s.Name, s.Pool, c))
		}
	}
	return strings.Join(stages, " ")
}

// stageOutput follows the stand-ins: a worker names itself, the stage and the
// text; an engine names the stage and counts its tokens.
func (w *cluster) wantStageOutput(stage, pool string, c *call) string {
	for _, s := range w.targets {
		if _, engine := s.server.(*tracedEngine); s.pool == pool && engine {
			out := "(" + c.work.Text + ")"
			for i := 1; i < c.work.Tokens; i++ {
				out += fmt.Sprintf(" %d", i)
			}
			return out
		}
	}
	return "(" + stage + ": " + c.work.Text + ")"
}
