package scenario

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// leaveTimeout is the time after the host list reports a target as leaving until
// which new runs may still reach it.
const leaveTimeout = 5 * time.Second

// maxCrashedTargets is the number of targets that one request body may crash.
const maxCrashedTargets = 2

// targetNamePattern matches the name of a worker, or of an engine's stage, in an
// output.
var targetNamePattern = regexp.MustCompile(`\w+\(`)

// removeTargetNames removes the names of targets from an output.
func removeTargetNames(output string) string { return targetNamePattern.ReplaceAllString(output, "(") }

// check compares the answers that callers received with the runs that reached the
// targets and returns the faults that it finds, sorted.
func (cl *cluster) check() []string {
	var faults []string
	report := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	runs := cl.trace.list()
	runsByRequest := map[string]int{}
	runsByKey := map[string]int{}
	for _, r := range runs {
		runsByRequest[r.run.RequestID]++
		if r.run.Key != "" {
			runsByKey[r.run.Key]++
		}
		if s := cl.targets[r.target]; !s.leftAt.IsZero() && r.at.After(s.leftAt.Add(leaveTimeout)) {
			report("target %s received a run of %s %v after it began to leave", r.target, r.work.Text, r.at.Sub(s.leftAt))
		}
	}
	checkCrashes(runs, report)
	for _, c := range cl.calls {
		if !c.ended() {
			report("%s has not ended", c.id)
			continue
		}
		cl.checkCall(c, runsByRequest, runsByKey, report)
	}
	sort.Strings(faults)
	return faults
}

// checkCrashes checks that no body crashed more than maxCrashedTargets targets. If
// more runs of it were in progress at the first crash, their number is the limit.
func checkCrashes(runs []tracedRun, report func(string, ...any)) {
	firstCrash := map[string]time.Time{}
	crashed := map[string]map[string]bool{}
	for _, r := range runs {
		text := r.work.Text
		if r.crashedIncarnation == "" {
			continue
		}
		if crashed[text] == nil {
			crashed[text] = map[string]bool{}
			firstCrash[text] = r.ended
		}
		crashed[text][r.target+"/"+r.crashedIncarnation] = true
		if r.ended.Before(firstCrash[text]) {
			firstCrash[text] = r.ended
		}
	}
	for text, targets := range crashed {
		running := 0
		for _, r := range runs {
			if r.work.Text == text && r.at.Before(firstCrash[text]) && (r.ended.IsZero() || !r.ended.Before(firstCrash[text])) {
				running++
			}
		}
		if len(targets) > max(maxCrashedTargets, running) {
			report("body %s crashed %d targets, with %d runs in progress at the first crash", text, len(targets), running)
		}
	}
}

// checkCall checks the answer to one call.
func (cl *cluster) checkCall(c *call, runsByRequest, runsByKey map[string]int, report func(string, ...any)) {
	if n := runsByKey[c.key]; c.key != "" && n > 1 {
		report("key of %s ran %d times", c.id, n)
	}
	a := c.answer
	if a == nil {
		return
	}
	if a.Ran == result.RanNo && runsByRequest[a.RequestID] > 0 {
		report("%s was answered that nothing ran, but %d runs reached targets", c.id, runsByRequest[a.RequestID])
	}
	if a.Code != result.OK {
		return
	}
	if want := cl.wantOutput(c); removeTargetNames(a.Output) != want {
		report("%s received %q, not its own complete answer %q", c.id, a.Output, want)
	}
	if c.stream && !a.Repeated && c.streamed != a.Output {
		report("%s streamed %q but the answer is %q", c.id, c.streamed, a.Output)
	}
	if c.key != "" && runsByKey[c.key] != 1 {
		report("key of %s has an answer but ran %d times", c.id, runsByKey[c.key])
	}
}

// wantOutput returns the output that c must receive, without target names.
func (cl *cluster) wantOutput(c *call) string {
	var stages []string
	for _, p := range cl.section.Pipelines {
		if p.Name != c.pipeline {
			continue
		}
		for _, s := range p.Stages {
			stages = append(stages, cl.wantStageOutput(s.Name, s.Pool, c))
		}
	}
	return strings.Join(stages, " ")
}

// wantStageOutput returns the output of one stage, without target names, as the
// stand-ins produce it: a worker writes its name, the stage and the text; an
// engine writes the stage, the text and a count of the tokens.
func (cl *cluster) wantStageOutput(stage, pool string, c *call) string {
	for _, s := range cl.targets {
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
