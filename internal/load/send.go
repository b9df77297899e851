package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
)

// answerGrace is the time after its deadline at which a request without an
// answer counts as lost.
const answerGrace = 10 * time.Second

// send posts s and records its answer.
func (r *Run) send(ctx context.Context, s *sentRequest) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+answerGrace)
	defer cancel()
	answer, err := r.post(ctx, s)
	took := r.Clock.Since(s.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answer = answer
	r.sent = append(r.sent, s)
	r.summary.Sent++
	if err != nil {
		r.summary.recordFault(&r.summary.Lost, s, err.Error())
		return
	}
	r.recordAnswer(s, took)
}

func (r *Run) post(ctx context.Context, s *sentRequest) (*caller.Answer, error) {
	url := "http://" + s.host.String() + "/v1/workspaces/" + r.Workspace + "/pipelines/" + r.Pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(s.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.DeadlineHeader, r.Deadline.String())
	if s.key != "" {
		req.Header.Set(caller.KeyHeader, s.key)
	}
	if r.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.Token)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a := &caller.Answer{}
	return a, json.NewDecoder(resp.Body).Decode(a)
}

// recordAnswer checks and counts the answer of s. The caller must hold r.mu.
func (r *Run) recordAnswer(s *sentRequest, took time.Duration) {
	r.summary.Codes[s.answer.Name]++
	own, foreign := findMarkers(s.answer.Output, s.marker)
	if foreign {
		r.summary.recordFault(&r.summary.Foreign, s, s.answer.Output)
	}
	if s.answer.Code != result.OK {
		return
	}
	if !own {
		r.summary.recordFault(&r.summary.Lost, s, "the answer lacks the request's marker: "+s.answer.Output)
		return
	}
	if took <= r.Deadline {
		r.summary.InTime++
	}
	if s.long {
		recordLatency(r.summary.Long, took)
	} else {
		recordLatency(r.summary.Short, took)
	}
}
