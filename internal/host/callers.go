package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/pkg/caller"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// handler returns the HTTP interface for callers and operators.
func (h *Host) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1").Produces("*/*")
	ws.Route(ws.POST("/workspaces/{workspace}/pipelines/{pipeline}").To(h.call))
	ws.Route(ws.GET("/ready").To(h.ready))
	h.addReport(ws)
	ws.Route(ws.GET("/live").To(h.live))
	ws.Route(ws.GET("/metrics").To(h.metrics))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// ready reports whether the load balancer should send new work.
func (h *Host) ready(_ *restful.Request, resp *restful.Response) {
	switch {
	case h.draining.Load():
		resp.WriteErrorString(http.StatusServiceUnavailable, "draining\n")
	case h.Follower.Stale(h.Clock.Now()):
		resp.WriteErrorString(http.StatusServiceUnavailable, "no configuration, or too old a one\n")
	case !h.Targets.Ready():
		resp.WriteErrorString(http.StatusServiceUnavailable, "no word on the targets yet\n")
	default:
		io.WriteString(resp, "ready\n")
	}
}

// live reports that the process is serving.
func (h *Host) live(_ *restful.Request, resp *restful.Response) {
	io.WriteString(resp, "live\n")
}

// call serves one request from a caller.
func (h *Host) call(rest *restful.Request, resp *restful.Response) {
	start := h.Clock.Now()
	id := uuid.NewString()
	resp.AddHeader(caller.RequestHeader, id)
	setBodyDeadline(resp.ResponseWriter, start)
	out := newReplyWriter(h.Clock, rest.Request, resp.ResponseWriter)
	a := h.answer(rest, resp, out, id)
	if a.RequestID == "" || !a.Repeated {
		a.RequestID = id
	}
	a.Took = h.Clock.Since(start)
	h.countAnswer(rest.PathParameter("workspace"), rest.PathParameter("pipeline"), a)
	h.recordAnswer(rest.PathParameter("workspace"), rest.PathParameter("pipeline"), a)
	h.Log.Info("request", zap.String("RequestID", id), zap.String("Workspace", rest.PathParameter("workspace")),
		zap.String("Pipeline", rest.PathParameter("pipeline")), zap.Stringer("Code", a.Code), zap.Stringer("Ran", a.Ran),
		zap.Bool("Repeated", a.Repeated), zap.Duration("Took", a.Took))
	out.end(a)
}

// answer runs one request and returns its answer. The request counts as in flight
// until the answer is written.
func (h *Host) answer(rest *restful.Request, resp *restful.Response, out *replyWriter, id string) *caller.Answer {
	end, err := h.requests.begin(id)
	if err != nil {
		return pipeline.NewAnswer(nil, "", err)
	}
	out.onEnd = end
	body := h.bodies.NewAllowance()
	req, err := h.admit(rest, resp, id, h.Clock.Now(), body)
	if err != nil {
		body.Release()
		return pipeline.NewAnswer(nil, "", err)
	}
	release, err := h.Admission.Admit(req.Workspace, req.Pipeline, req.Priority, req.Deadline)
	if err != nil {
		body.Release()
		return pipeline.NewAnswer(nil, "", err)
	}
	if out.stream {
		req.Emit = out.emit
	}
	return h.run(rest.Request.Context(), req, func() {
		release()
		body.Release()
	})
}

// run runs an admitted request. A claimed request may continue after its answer,
// so its run is tracked as in flight under a separate ID.
func (h *Host) run(ctx context.Context, req *pipeline.Request, release func()) *caller.Answer {
	end := h.requests.beginPart(req.ID + runSuffix)
	req.OnEnd = func() {
		release()
		end()
	}
	return h.Runner.Run(ctx, req)
}

// runSuffix follows the request ID in the ID under which the run is in flight.
const runSuffix = "/run"

// wantsStream reports whether the caller accepts a streamed answer.
func wantsStream(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), caller.StreamType)
}

func encode(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
