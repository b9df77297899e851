package gateway

import (
	"time"

	"berylswitch.example/berylswitch/internal/placement"
	"go.uber.org/zap"
)

// sendCost compares the cost of a send that the holder predicted with what was seen.
type sendCost struct {
	choice placement.Choice
	// firstEvent is the time from the start of the send to its first event, events the
	// number of its events; zero if there were none.
	firstEvent time.Duration
	events     int
}

// eventsBefore returns the number of events of the stream that the caller has from earlier
// sends, and from an earlier attempt if the request resumes it.
func (q *request) eventsBefore() int {
	n := q.eventCount
	if q.Resumes {
		n += int(max(0, min(q.ResumeAfter, maxEventsBefore))) + 1
	}
	return n
}

// maxEventsBefore bounds what a caller's header can claim of the events that it has.
const maxEventsBefore = 1 << 16

// logChoice logs the holder's choice, with except targets left out, and keeps its
// predictions.
func (s *sender) logChoice(c *placement.Choice, except int, took time.Duration) {
	s.q.cost = sendCost{choice: *c}
	fields := []zap.Field{
		zap.String("RequestID", s.q.ID), zap.String("Target", c.Target), zap.Duration("Expected", c.Expected),
		zap.Int("Reading", c.Reading), zap.Int("Cached", c.Cached), zap.Int("Except", except), zap.Duration("Took", took),
	}
	if c.Slowness > 0 {
		fields = append(fields, zap.Int("Output", c.Output), zap.Int("HighOutput", c.HighOutput), zap.Duration("Work", c.Work), zap.Float64("Slowness", c.Slowness))
	}
	s.h.Log.Info("target chosen", fields...)
}

// recordFirstEventCost records the time to the first event of a send whose target a
// holder chose.
func (s *sender) recordFirstEventCost(took time.Duration) {
	if s.lease == nil {
		return
	}
	s.q.cost.firstEvent = took
	s.h.histogram("Placement.FirstEvent.Predicted").Update(int64(s.q.cost.choice.Expected))
	s.h.histogram("Placement.FirstEvent.Actual").Update(int64(took))
	s.h.histogram("Placement.FirstEvent.Error").Update(int64((took - s.q.cost.choice.Expected).Abs()))
}

// recordOutputCost records the output of a complete send whose target a holder chose by
// work.
func (s *sender) recordOutputCost() {
	if s.lease == nil {
		return
	}
	s.q.cost.events = s.lease.Events()
	if s.q.cost.choice.Slowness == 0 {
		return
	}
	predicted, actual := int64(s.q.cost.choice.Output), int64(placement.OutputTokens(s.q.cost.events))
	s.h.histogram("Placement.Output.Predicted").Update(predicted)
	s.h.histogram("Placement.Output.Actual").Update(actual)
	s.h.histogram("Placement.Output.Error").Update(max(predicted-actual, actual-predicted))
}

// fields returns the fields of the line on the request.
func (c *sendCost) fields() []zap.Field {
	if c.choice.Target == "" {
		return nil
	}
	fields := []zap.Field{zap.Duration("ExpectedFirstEvent", c.choice.Expected), zap.Duration("SendFirstEvent", c.firstEvent)}
	if c.choice.Slowness > 0 {
		fields = append(fields, zap.Int("ExpectedOutput", c.choice.Output), zap.Int("Output", placement.OutputTokens(c.events)))
	}
	return fields
}
