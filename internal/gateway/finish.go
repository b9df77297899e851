package gateway

import (
	"context"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// finish writes the response that err calls for, if any, and logs the request.
func (h *Host) finish(caller context.Context, q *request, out *callerResponse, err error) {
	var e *result.Error
	code := result.OK
	if err != nil {
		if caller.Err() != nil && !q.bodyRefused {
			err = result.Failed(result.Cancelled, "%v", errCallerGone)
		}
		e = result.From(err)
		code = e.Code
	}
	took := h.Clock.Since(q.arrived)
	h.recordMetrics(q, code, took)
	abort := e != nil && (out.started || code == result.Cancelled)
	if e != nil && !abort {
		out.writeRefusal(q.ID, e)
	}
	h.logRequest(q, out, e, took)
	if abort {
		// Abort the connection, so that the caller sees that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

func (h *Host) logRequest(q *request, out *callerResponse, e *result.Error, took time.Duration) {
	fields := []zap.Field{
		zap.String("RequestID", q.ID), zap.Int("Status", out.status), zap.Duration("Took", took),
		zap.String("Workspace", q.workspace), zap.String("Target", q.target), zap.Int("Sends", q.sends),
	}
	if q.route != nil {
		fields = append(fields, zap.String("Route", q.route.Name), zap.Stringer("Kind", q.route.Kind), zap.String("Service", q.service),
			zap.Int64("Version", q.version))
	}
	if q.stagesTook > 0 {
		fields = append(fields, zap.Duration("Stages", q.stagesTook))
	}
	if q.timeToFirstEvent > 0 {
		fields = append(fields, zap.Duration("FirstEvent", q.timeToFirstEvent), zap.Int("Events", q.eventCount))
	}
	fields = append(fields, q.cost.fields()...)
	if e != nil {
		fields = append(fields, zap.Stringer("Code", e.Code), zap.String("Why", e.Message), zap.Bool("MayHaveRun", q.mayHaveRun),
			zap.Duration("RetryAfter", e.RetryAfter))
	}
	h.Log.Info("request", fields...)
}

// retryLater returns the refusal of a request that has not run, with the delay
// after which the caller may retry.
func retryLater(code result.Code, after time.Duration, format string, args ...any) *result.Error {
	e := result.NotRun(code, format, args...)
	e.RetryAfter = after
	return e
}
