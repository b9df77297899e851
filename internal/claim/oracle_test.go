package claim

import (
	"encoding/json"
	"fmt"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// The oracle checks the following after any faults: a key ran at most once; the
// request of a caller that received "not run" did not run; a stored outcome is
// the one that the runner recorded; and once all faults have ended, repeats of a
// key keep getting the same answer.

// settleTime is longer than the deadline, skew and retry delay of any claim.
const settleTime = 30 * time.Second

// maxVerdictDelay is the time after its deadline within which a claim must end
// if its host was not frozen.
const maxVerdictDelay = 500 * time.Millisecond

// outcomeCounts counts the results of the requests of fuzzed runs.
type outcomeCounts struct {
	Sends, Runs, Repeats, Unknown, InProgress, NotRun, Errors, Released int
}

// checkAll ends all faults, claims each key twice more and returns the
// violations that it finds.
func (c *cluster) checkAll(keys map[int]string, total *outcomeCounts) []string {
	c.heal()
	for _, h := range c.hosts {
		h.start()
	}
	time.Sleep(settleTime)
	synctest.Wait()
	var violations []string
	requests := append([]*callerRequest(nil), c.requests...)
	for _, r := range requests {
		total.count(r)
		if v := c.checkRequest(r); v != "" {
			violations = append(violations, fmt.Sprintf("%s on %s at %s: %s", r.request.AttemptID, r.request.Key, r.host.name, v))
		}
	}
	for _, key := range keys {
		if v := c.checkRunsOfKey(key, requests); v != "" {
			violations = append(violations, fmt.Sprintf("key %s: %s", key, v))
		}
	}
	return violations
}

// checkRequest checks the verdict on one request.
func (c *cluster) checkRequest(r *callerRequest) string {
	if !r.returned {
		if r.hostCtx != nil && r.hostCtx.Err() == nil {
			return "no verdict, although its host is alive"
		}
		return ""
	}
	if r.freezes == r.host.freezes && r.took > r.request.Until.Sub(r.start)+maxVerdictDelay {
		return fmt.Sprintf("the verdict took %v, %v after its deadline", r.took, r.took-r.request.Until.Sub(r.start))
	}
	if r.ranLate {
		return "ran after its deadline"
	}
	if r.err != nil {
		return checkNotRun(r, result.From(r.err))
	}
	switch v := r.verdict.(type) {
	case Repeat:
		return c.checkRepeat(r, v.Outcome)
	case Refused:
		if v.Result.Code == result.KeyReused && !c.hasOtherBody(r) {
			return "KeyReused without another body"
		}
		return checkNotRun(r, v.Result)
	}
	return ""
}

func checkNotRun(r *callerRequest, e *result.Error) string {
	if r.ran {
		return fmt.Sprintf("ran, but the caller received %v", e)
	}
	return ""
}

func (c *cluster) checkRepeat(r *callerRequest, o Outcome) string {
	runs := c.runs[r.request.Key]
	if len(runs) == 0 {
		return "an outcome of a key that never ran"
	}
	want, _ := json.Marshal(runs[0].request.AttemptID)
	if string(o.Answer) != string(want) || o.Code != result.OK {
		return fmt.Sprintf("outcome %s %s, the runner recorded %s", o.Code, o.Answer, want)
	}
	if runs[0].request.Digest != r.request.Digest {
		return "an outcome of another body"
	}
	return ""
}

func (c *cluster) hasOtherBody(r *callerRequest) bool {
	for _, other := range c.requests {
		if other.request.Key == r.request.Key && other.request.Digest != r.request.Digest {
			return true
		}
	}
	return false
}

// checkRunsOfKey checks the number of runs of a key and the answers that later
// repeats get.
func (c *cluster) checkRunsOfKey(key string, requests []*callerRequest) string {
	runs := c.runs[key]
	if len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	body, lost := "x", false
	for _, r := range requests {
		if r.request.Key == key && r.hostCtx != nil && r.hostCtx.Err() != nil {
			lost = true // its host died: the claim may be left without an outcome
			body = r.request.Digest
		}
	}
	if len(runs) == 1 {
		body = runs[0].request.Digest
		lost = runs[0].hostCtx.Err() != nil && !runs[0].finished
	}
	first, second := c.probe(0, key, body), c.probe(1, key, body)
	allowed := func(got string) bool {
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
	if !allowed(first) || first != second {
		return fmt.Sprintf("%d runs (lost %t), but repeats end as %s and %s", len(runs), lost, first, second)
	}
	return ""
}

// probe claims a key once more, releases the claim if it is the first, and
// returns the result.
func (c *cluster) probe(host int, key, body string) string {
	r := c.send(requestPlan{host: host, key: key, body: body, timeout: 5 * time.Second, release: true})
	time.Sleep(time.Second)
	synctest.Wait()
	if r.err != nil || !r.returned {
		return r.describe()
	}
	switch v := r.verdict.(type) {
	case First:
		return "First"
	case Repeat:
		if f := c.checkRepeat(r, v.Outcome); f != "" {
			return f
		}
		return "Repeat"
	case Refused:
		return v.Result.Code.String()
	}
	panic(fmt.Sprintf("unexpected verdict %T", r.verdict))
}

func (t *outcomeCounts) count(r *callerRequest) {
	t.Sends++
	if r.ran {
		t.Runs++
	}
	if r.released {
		t.Released++
	}
	if r.returned && r.err != nil {
		t.Errors++
	}
	switch v := r.verdict.(type) {
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
