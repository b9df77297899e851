package gateway

import (
	"context"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"crypto/sha256"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/pkg/result"
)

// request is a caller's request while it is served.
type request struct {
	Ask
	method, uri, host string
	header            http.Header
	body              []byte
	route             *catalog.Route
	service           string
	workspace         string
	// rank is the priority of the workspace, or else of the route.
	rank    int
	arrived time.Time
	// until is the time at which the caller or the route gives up; zero if never.
	until  time.Time
	digest string

	// The rest is what became of it, for the log.
	target   string
	sends    int
	mayRun   bool // a target may have run the request
	stages   bool // a target may have run one of its stages
	staged   time.Duration
	firstOut time.Duration
	events   int
}

// errCallerGone is the cause of a context that the caller's leaving ended.
var errCallerGone = errors.New("the caller went away")

// errTimeout is the cause of a context whose time ran out.
var errTimeout = errors.New("the time of the request ran out")

// unboundedWait is the deadline of a request that names none, on a route
// without a limit.
const unboundedWait = 10 * time.Minute

// ServeHTTP serves one request of a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: h.Clock.Now(), method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header}
	h.open.Add(1)
	defer h.open.Add(-1)
	out := &reply{w: w, host: h}
	err := h.accept(w, r, q)
	if err == nil {
		ctx, cancel := h.requestContext(r.Context(), q.until)
		if q.route.Kind == catalog.Stream {
			err = h.stream(ctx, q, out)
		} else {
			err = h.plain(ctx, q, out)
		}
		cancel()
	}
	h.finish(r.Context(), q, out, err)
}

// errEnding is the cause of a context that the end of the process ended.
var errEnding = errors.New("the host is shutting down")

// requestContext returns a context that ends with the caller, at until, or when
// the process has to end.
func (h *Host) requestContext(caller context.Context, until time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadlineCause(caller, until, errTimeout)
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(h.ending, func() { end(context.Cause(h.ending)) })
	return ctx, func() { stop(); end(nil); cancel() }
}

// accept reads the whole request and finds what it is for.
func (h *Host) accept(w http.ResponseWriter, r *http.Request, q *request) error {
	table := h.Follower.Snapshot().Table
	if table == nil {
		return later(result.ConfigStale, noTableRetry, "no configuration has been read yet")
	}
	var err error
	if q.Ask, err = h.Format.ReadAsk(r.Header); err != nil {
		return result.NotRun(result.BadRequest, "%v", err)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if q.route = table.Find(r.Host, path); q.route == nil {
		return result.NotRun(result.UnknownPipeline, "no route for host and path in version %d", table.Version)
	}
	if err := q.authorize(table); err != nil {
		return err
	}
	if q.body, err = readBody(w, r, table.Limits.BodyBytes); err != nil {
		return err
	}
	q.service = pick(q.route.Backends)
	q.until = q.arrived.Add(q.wait())
	q.digest = digest(q)
	h.Repeats.Request(q.service)
	if h.Crashes.Guilty(q.digest) {
		return later(result.CrashSuspect, 0, "earlier sends of this request crashed targets")
	}
	return nil
}

// authorize finds the workspace of q.
func (q *request) authorize(table *catalog.Table) error {
	q.rank = q.route.Priority
	if !table.RequiresKey() || q.route.Public {
		return nil
	}
	ws := table.WorkspaceByKey(q.Key)
	if ws == nil {
		return result.NotRun(result.Unauthorized, "the key is not in version %d", table.Version)
	}
	q.workspace = ws.Name
	if ws.HasPriority {
		q.rank = ws.Priority
	}
	return nil
}

// wait is the time that q may take from its arrival.
func (q *request) wait() time.Duration {
	wait := unboundedWait
	if q.Wait > 0 {
		wait = min(wait, q.Wait)
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	return wait
}

// due is the time until which the answer has its full value.
func (q *request) due() time.Time {
	if q.route.Aim > 0 {
		return q.arrived.Add(q.route.Aim)
	}
	return q.until
}

// home names what targets may have cached of q's prompt: its last part that
// other requests share.
func (q *request) home() string {
	if n := len(q.Prompt); n > 1 {
		return q.Prompt[n-2].ID
	}
	return ""
}

// worth estimates what q is worth against others: longer prompts take more work
// to answer and to ask for, though not in proportion.
func (q *request) worth() float64 {
	tokens := 0
	for _, part := range q.Prompt {
		tokens += part.Tokens
	}
	return math.Pow(float64(max(1, tokens)), worthExponent)
}

// worthExponent is the power of a prompt's tokens that a request is worth.
const worthExponent = 0.75

// readBody reads the whole body, at most limit bytes unless limit is zero.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, result.NotRun(result.BodyTooLarge, "the body has more than %d bytes", limit)
	default:
		return nil, result.NotRun(result.BadRequest, "reading the body: %v", err)
	}
}

// pick chooses one of the backends by their weights.
func pick(backends []catalog.Backend) string {
	total := 0.0
	for _, b := range backends {
		total += b.Weight
	}
	at := rand.Float64() * total
	for _, b := range backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	if len(backends) > 0 {
		return backends[len(backends)-1].Service
	}
	return ""
}

// digest names the path, the workspace and the body of q.
func digest(q *request) string {
	d := sha256.New()
	addField(d, q.method)
	addField(d, q.host)
	addField(d, q.uri)
	addField(d, q.workspace)
	d.Write(q.body)
	return hex.EncodeToString(d.Sum(nil)[:digestBytes])
}

// digestBytes is the length of a digest before its coding in hexadecimal.
const digestBytes = 16

func addField(d hash.Hash, s string) {
	io.WriteString(d, s)
	d.Write([]byte{0})
}
