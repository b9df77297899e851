package host

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
)

// admit validates a request before any part of it runs. The memory of its body is taken
// from a. Its error is a *result.Error that reports that nothing ran.
func (h *Host) admit(rest *restful.Request, resp *restful.Response, id string, start time.Time, a *memory.Allowance) (*pipeline.Request, error) {
	state := h.Follower.State()
	if h.Follower.Stale(start) {
		return nil, result.NotRun(result.ConfigStale, "no configuration, or no contact with the log or the peers")
	}
	w := state.View.Workspaces[rest.PathParameter("workspace")]
	if w == nil || !authorized(w, rest.Request.Header.Get("Authorization")) {
		return nil, result.NotRun(result.Unauthorized, "unknown workspace or wrong token")
	}
	p := state.View.Pipelines[rest.PathParameter("pipeline")]
	if p == nil || !mayCall(w, p.Name) {
		return nil, result.NotRun(result.UnknownPipeline, "no pipeline %q for this workspace", rest.PathParameter("pipeline"))
	}
	req := &pipeline.Request{ID: id, View: state.View, Workspace: w, Pipeline: p, Priority: p.Priority}
	if err := readHeaders(rest.Request, req, start); err != nil {
		return nil, err
	}
	body, err := readBody(resp.ResponseWriter, rest.Request, a)
	if err != nil {
		return nil, err
	}
	if err := checkBody(body); err != nil {
		return nil, err
	}
	req.Input = body
	setDigests(req)
	return req, nil
}

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// authorized reports whether the token of a request matches the declared digest.
func authorized(w *declaration.Workspace, header string) bool {
	token, _ := strings.CutPrefix(header, bearerPrefix)
	return w.Admits(token)
}

func mayCall(w *declaration.Workspace, pipeline string) bool {
	return len(w.Pipelines) == 0 || slices.Contains(w.Pipelines, pipeline)
}

// readHeaders sets the deadline, priority and idempotency key of req from the
// headers.
func readHeaders(r *http.Request, req *pipeline.Request, start time.Time) error {
	deadline := time.Duration(req.Pipeline.Deadline)
	if text := r.Header.Get(caller.DeadlineHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return badHeader(caller.DeadlineHeader, "%q is not a duration such as 1.5s", text)
		}
		deadline = d
	}
	if deadline <= 0 || deadline > declaration.MaxDeadline {
		return badHeader(caller.DeadlineHeader, "%v is not between 0 and %v", deadline, declaration.MaxDeadline)
	}
	req.Deadline = start.Add(deadline)
	if err := readPriority(r, req); err != nil {
		return err
	}
	req.Key = r.Header.Get(caller.KeyHeader)
	return checkKey(req)
}

func readPriority(r *http.Request, req *pipeline.Request) error {
	text := r.Header.Get(caller.PriorityHeader)
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return badHeader(caller.PriorityHeader, "%q is not an integer", text)
	}
	if highest := req.Workspace.MaxPriority; highest > 0 && n > highest {
		return badHeader(caller.PriorityHeader, "%d exceeds the workspace's maximum, %d", n, highest)
	}
	req.Priority = n
	return nil
}

// checkKey requires a UUIDv7 as the key if the pipeline is not idempotent.
func checkKey(req *pipeline.Request) error {
	if !req.View.NonIdempotent(req.Pipeline) {
		return nil
	}
	if req.Key == "" {
		e := result.NotRun(result.KeyRequired, "pipeline %s is not idempotent", req.Pipeline.Name)
		e.Place = caller.KeyHeader
		return e
	}
	id, err := uuid.Parse(req.Key)
	if err != nil || id.Version() != uuidVersion || id.String() != req.Key {
		e := result.NotRun(result.KeyMalformed, "%q is not a lower-case UUIDv7", req.Key)
		e.Place = caller.KeyHeader
		return e
	}
	return nil
}

// uuidVersion is the UUID version of idempotency keys.
const uuidVersion = 7

func badHeader(name, format string, args ...any) error {
	e := result.NotRun(result.BadRequest, format, args...)
	e.Place = name
	return e
}

// setDigests sets the digests of the request. White space between the JSON values
// of the body doesn't change them.
func setDigests(req *pipeline.Request) {
	var compact bytes.Buffer
	if json.Compact(&compact, req.Input) != nil {
		compact.Write(req.Input)
	}
	body := sha256.Sum256(compact.Bytes())
	req.BodyDigest = hex.EncodeToString(body[:])
	whole := sha256.Sum256([]byte(req.Pipeline.Name + "\x00" + req.BodyDigest))
	req.Digest = hex.EncodeToString(whole[:])
}
