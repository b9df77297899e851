package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// handler returns the HTTP interface for callers and operators.
func (h *Host) handler() http.Handler {
	ws := new(restful.WebService)
	ws.Path("/v1")
	ws.Route(ws.POST("/workspaces/{workspace}/pipelines/{pipeline}").To(h.call))
	ws.Route(ws.GET("/ready").To(h.ready))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

func (h *Host) ready(_ *restful.Request, resp *restful.Response) {
	if h.Follower.Stale(h.Clock.Now()) {
		resp.WriteErrorString(http.StatusServiceUnavailable, "no configuration, or too old a one")
		return
	}
	io.WriteString(resp, "ready\n")
}

// call serves one request of a caller.
func (h *Host) call(rest *restful.Request, resp *restful.Response) {
	start := h.Clock.Now()
	id := uuid.NewString()
	resp.AddHeader(caller.RequestHeader, id)
	answer := caller.Answer{RequestID: id}
	req, err := h.admit(rest, id, start)
	if err == nil {
		answer.Output, answer.Stages, err = h.run(rest.Request.Context(), req)
	}
	complete(&answer, err)
	answer.Took = h.Clock.Since(start)
	h.Log.Info("request", zap.String("RequestID", id), zap.String("Workspace", rest.PathParameter("workspace")),
		zap.Stringer("Code", answer.Code), zap.Duration("Took", answer.Took))
	resp.AddHeader("Content-Type", "application/json")
	resp.WriteHeader(answer.Code.Lookup().HTTPStatus)
	json.NewEncoder(resp).Encode(&answer)
}

// run passes an admissible request through the workspace's limits to the
// pipeline.
func (h *Host) run(ctx context.Context, req *pipeline.Request) (string, []caller.StageReport, error) {
	release, err := h.Admission.Admit(req.Workspace, req.Pipeline, req.Priority, req.Deadline)
	if err != nil {
		return "", nil, err
	}
	defer release()
	return h.Runner.Run(ctx, req)
}

// complete fills the result fields of a from err.
func complete(a *caller.Answer, err error) {
	a.Ran = result.RanYes
	if e := result.From(err); e != nil {
		a.Code, a.Ran, a.Message, a.Place, a.RetryAfter = e.Code, e.Ran, e.Message, e.Place, e.RetryAfter
		a.Output = ""
	}
	a.Name = a.Code.String()
}

// admit checks a request before anything of it runs.
func (h *Host) admit(rest *restful.Request, id string, start time.Time) (*pipeline.Request, error) {
	state := h.Follower.State()
	if h.Follower.Stale(start) {
		return nil, result.NotRun(result.ConfigStale, "no configuration, or no contact to log or peers")
	}
	w := state.View.Workspaces[rest.PathParameter("workspace")]
	if w == nil {
		return nil, result.NotRun(result.Unauthorized, "unknown workspace")
	}
	p := state.View.Pipelines[rest.PathParameter("pipeline")]
	if p == nil {
		return nil, result.NotRun(result.UnknownPipeline, "no pipeline %q", rest.PathParameter("pipeline"))
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, rest.Request.Body, maxBodyBytes))
	if err != nil {
		return nil, result.NotRun(result.BodyTooLarge, "%v", err)
	}
	if !json.Valid(body) {
		return nil, result.NotRun(result.BadRequest, "the body is no JSON")
	}
	req := &pipeline.Request{ID: id, Workspace: w, Pipeline: p, Priority: p.Priority, Input: body}
	return req, h.headers(rest.Request, req, start)
}

func (h *Host) headers(r *http.Request, req *pipeline.Request, start time.Time) error {
	deadline := req.Pipeline.Deadline
	if text := r.Header.Get(caller.DeadlineHeader); text != "" {
		var d declaration.Duration
		if err := d.UnmarshalText([]byte(text)); err != nil {
			return badHeader(caller.DeadlineHeader, err)
		}
		deadline = d
	}
	if text := r.Header.Get(caller.PriorityHeader); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return badHeader(caller.PriorityHeader, err)
		}
		req.Priority = n
	}
	req.Key = r.Header.Get(caller.KeyHeader)
	req.Deadline = start.Add(time.Duration(deadline))
	return nil
}

func badHeader(name string, err error) error {
	e := result.NotRun(result.BadRequest, "%v", err)
	e.Place = name
	return e
}
