package claim

import (
	"encoding/json"
	"fmt"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// The oracle: whatever happened, a key ran at most once; a caller that was told
// "not run" did not run; a stored outcome is the one that the runner gave; and
// once all faults are over every key has one lasting answer.

// settleTime is longer than any claim's deadline, skew and retry pause.
const settleTime = 30 * time.Second

// promptness is the time beyond its deadline in which a claim of a host that
// was not frozen must have ended.
const maxVerdictDelay = 500 * time.Millisecond

// tally counts what fuzzed runs came to.
type outcomeCounts struct {
	Sends, Runs, Repeats, Unknown, InProgress, NotRun, Errors, Released int
}

// judge heals everything, asks for each key twice more and returns the faults
// that it finds.
func (c *cluster) checkAll(keys map[int]string, total *outcomeCounts) []string {
	c.heal()
	for _, h := range c.hosts {
		h.start()
	}
	time.Sleep(settleTime)
	synctest.Wait()
	var faults []string
	sends := append([]*callerRequest(nil), c.requests...)
	for _, s := range sends {
		total.count(s)
		if f := c.checkRequest(s); f != "" {
			faults = append(faults, fmt.Sprintf("%s on %s at %s: %s", s.request.AttemptID, s.request.Key, s.host.name, f))
		}
	}
	for _, key := range keys {
		if f := c.checkRunsOfKey(key, sends); f != "" {
			faults = append(faults, fmt.Sprintf("key %s: %s", key, f))
		}
	}
	return faults
}

// judgeSend checks what one caller was told.
func (c *cluster) checkRequest(s *callerRequest) string {
	if !s.returned {
		if s.hostCtx != nil && s.hostCtx.Err() == nil {
			return "no verdict, though its host lives"
		}
		return ""
	}
	if s.freezes == s.host.freezes && s.took > s.request.Until.Sub(s.start)+maxVerdictDelay {
		return fmt.Sprintf("the verdict took %v, %v after its deadline", s.took, s.took-s.request.Until.Sub(s.start))
	}
	if s.ranLate {
		return "ran after its deadline"
	}
	if s.err != nil {
		return checkNotRun(s, result.From(s.err))
	}
	switch v := s.verdict.(type) {
	case Repeat:
		return c.checkRepeat(s, v.Outcome)
	case Refused:
		if v.Result.Code == result.KeyReused && !c.hasOtherBody(s) {
			return "KeyReused without another body"
		}
		return checkNotRun(s, v.Result)
	}
	return ""
}

func checkNotRun(s *callerRequest, e *result.Error) string {
	if s.ran {
		return fmt.Sprintf("ran and was told %v", e)
	}
	return ""
}

func (c *cluster) checkRepeat(s *callerRequest, o Outcome) string {
	runs := c.runs[s.request.Key]
	if len(runs) == 0 {
		return "an outcome of a key that never ran"
	}
	want, _ := json.Marshal(runs[0].request.AttemptID)
	if string(o.Answer) != string(want) || o.Code != result.OK {
		return fmt.Sprintf("outcome %s %s, the runner gave %s", o.Code, o.Answer, want)
	}
	if runs[0].request.Digest != s.request.Digest {
		return "an outcome of another body"
	}
	return ""
}

func (c *cluster) hasOtherBody(s *callerRequest) bool {
	for _, other := range c.requests {
		if other.request.Key == s.request.Key && other.request.Digest != s.request.Digest {
			return true
		}
	}
	return false
}

// judgeKey checks the number of runs and the lasting answer of a key.
func (c *cluster) checkRunsOfKey(key string, sends []*callerRequest) string {
	runs := c.runs[key]
	if len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	body, lost := "x", false
	for _, s := range sends {
		if s.request.Key == key && s.hostCtx != nil && s.hostCtx.Err() != nil {
			lost = true // its host died: the claim may be left without an end
			body = s.request.Digest
		}
	}
	if len(runs) == 1 {
		body = runs[0].request.Digest
		lost = runs[0].hostCtx.Err() != nil && !runs[0].finished
	}
	first, second := c.probe(0, key, body), c.probe(1, key, body)
	want := func(got string) bool {
		switch {
		case len(runs) == 1 && !lost:
			return got == "Repeat"
		case len(runs) == 1:
			return got == "Repeat" || got == "OutcomeUnknown"
		case !lost:
			return got == "First"
		default:
			return got == "First" || got == "OutcomeUnknown" || got == "KeyReused"
		}
	}
	if !want(first) || first != second {
		return fmt.Sprintf("%d runs (lost %t), but repeats end as %s and %s", len(runs), lost, first, second)
	}
	return ""
}

// probe claims a key once more and gives up what it gets.
func (c *cluster) probe(host int, key, body string) string {
	s := c.send(requestPlan{host: host, key: key, body: body, timeout: 5 * time.Second, release: true})
	time.Sleep(time.Second)
	synctest.Wait()
	if s.err != nil || !s.returned {
		return s.describe()
	}
	switch v := s.verdict.(type) {
	case First:
		return "First"
	case Repeat:
		if f := c.checkRepeat(s, v.Outcome); f != "" {
			return f
		}
		return "Repeat"
	case Refused:
		return v.Result.Code.String()
	}
	panic(fmt.Sprintf("unexpected verdict %T", s.verdict))
}

func (t *outcomeCounts) count(s *callerRequest) {
	t.Sends++
	if s.ran {
		t.Runs++
	}
	if s.released {
		t.Released++
	}
	if s.returned && s.err != nil {
		t.Errors++
	}
	switch v := s.verdict.(type) {
	case Repeat:
		t.Repeats++
	case Refused:
		switch {
		case v.Result.Code == result.OutcomeUnknown:
			t.Unknown++
		case v.Result.Code == result.InProgress:
			t.InProgress++
		case v.Result.Ran == result.RanNo:
			t.NotRun++
		}
	}
}
