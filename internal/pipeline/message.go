package pipeline

import (
	"encoding/json"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/queue"
	"github.com/google/uuid"
)

// slotRequest describes the next attempt of st to the dispatcher.
func (x *execution) slotRequest(st *stageRun) queue.SlotRequest {
	st.mu.Lock()
	defer st.mu.Unlock()
	return queue.SlotRequest{
		AttemptID:   uuid.NewString(),
		RequestID:   x.req.ID,
		Workspace:   x.req.Workspace.Name,
		Weight:      x.req.Workspace.Share,
		Pipeline:    x.req.Pipeline.Name,
		Stage:       st.stage.Name,
		Pool:        st.stage.Pool,
		Model:       st.stage.Model,
		Priority:    x.req.Priority,
		Deadline:    x.req.Deadline,
		PromptBytes: len(x.req.Input) + len(st.previousOutput),
		Exclude:     st.exclude,
		NothingRan:  !x.sent.Load(),
	}
}

// runMessage returns the Run message for an attempt of st.
func (x *execution) runMessage(st *stageRun, attemptID string) *contract.Run {
	m := &contract.Run{
		AttemptID: attemptID,
		RequestID: x.req.ID,
		Workspace: x.req.Workspace.Name,
		Stage:     st.stage.Name,
		Model:     st.stage.Model,
		Priority:  x.req.Priority,
		TimeLeft:  x.req.Deadline.Sub(x.Clock.Now()),
		Input:     withPrevious(x.req.Input, st.previousOutput),
	}
	if !st.repeatable {
		m.Key = x.req.Key
	}
	return m
}

// withPrevious adds the output of the previous stage to input as the member
// Previous. It returns an input that is not a JSON object unchanged.
func withPrevious(input json.RawMessage, previous string) json.RawMessage {
	var members map[string]json.RawMessage
	if previous == "" || json.Unmarshal(input, &members) != nil {
		return input
	}
	text, err := json.Marshal(previous)
	if err != nil {
		return input
	}
	members["Previous"] = text
	out, err := json.Marshal(members)
	if err != nil {
		return input
	}
	return out
}
