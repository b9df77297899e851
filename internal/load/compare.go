package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/result"
)

// compareRuns checks the answers against the run counts of the targets.
func (r *Run) compareRuns(ctx context.Context) error {
	if len(r.Targets) == 0 {
		return nil
	}
	ran := map[string]int{} // by idempotency key, or by request ID if it has none
	for _, addr := range r.Targets {
		status, err := r.targetStatus(ctx, addr)
		if err != nil {
			return err
		}
		if status.Uncounted > 0 {
			return Error.New("target %s left %d runs out of its counts", status.Name, status.Uncounted)
		}
		for id, n := range status.Runs {
			request, _, _ := strings.Cut(id, "/")
			ran[request] += n
		}
	}
	for _, s := range r.sent {
		r.compareRequest(s, ran)
	}
	return nil
}

func (r *Run) targetStatus(ctx context.Context, addr netip.AddrPort) (*standin.TargetStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+standin.ControlPath, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	status := &standin.TargetStatus{}
	return status, Error.Wrap(json.NewDecoder(resp.Body).Decode(status))
}

// compareRequest checks one request. In a load with keys, Targets must belong
// to a single stage, so that a key runs at most once.
func (r *Run) compareRequest(s *sentRequest, ran map[string]int) {
	id := s.key
	if id == "" && s.answer != nil {
		id = s.answer.RequestID
	}
	if id == "" {
		return
	}
	n := ran[id]
	switch {
	case s.key != "" && n > 1:
		r.summary.recordFault(&r.summary.Doubled, s, fmt.Sprintf("the key ran %d times", n))
	case s.answer == nil:
	case s.answer.Code == result.OK && n == 0:
		r.summary.recordFault(&r.summary.Lost, s, "answered, but no target counted a run")
	case s.answer.Ran == result.RanNo && n > 0 && !r.mayBeRepeated(s):
		r.summary.recordFault(&r.summary.FalseRefusals, s, fmt.Sprintf("refused as not run, but ran %d times", n))
	}
}

// mayBeRepeated reports whether another send may have used the key of s; if
// so, a refusal of s says nothing about the runs of the key.
func (r *Run) mayBeRepeated(s *sentRequest) bool {
	return s.key != "" && r.RepeatEvery > 0
}
