package host

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/pkg/result"
)

// Limits on the size of a caller's request and on the time for sending it and
// for reading the answer.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	maxNesting     = 64
	// maxBodiesBytes bounds the memory of the bodies above smallBodyBytes that are read
	// or in use at the same time. Nothing else of a host takes as much of SoftMemoryBytes.
	maxBodiesBytes = SoftMemoryBytes / 4
	smallBodyBytes = 64 << 10
	// maxPeerMessageBytes bounds the memory of large messages of other hosts that are being
	// received.
	maxPeerMessageBytes = SoftMemoryBytes / 16
	// minBodyCapacity is the capacity of the first buffer for a body.
	minBodyCapacity = 1 << 10

	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// newServer returns the HTTP server for callers, with timeouts against slow ones.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// connLimit returns a limit on the connections of a listener.
func (h *Host) connLimit(listener string, max int) *link.ConnLimit {
	return &link.ConnLimit{Max: max, Clock: h.Clock, OnClose: link.ReportClosed(h.Log, h.Metrics, listener, max)}
}

// setBodyDeadline bounds the time for reading the body of a request. It also
// applies to a request that is refused before its body is read, since the server
// then reads the rest of the body.
func setBodyDeadline(w http.ResponseWriter, now time.Time) {
	http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout))
}

// bodyRetry is the time after which a caller may retry if there was no memory for its
// body.
const bodyRetry = time.Second

// errNoBodyMemory means that the bodies of other requests take all memory for bodies.
var errNoBodyMemory = errors.New("no memory is left for the body")

// readBody reads the body of a request within the limits on its size and time and on the
// memory of all bodies, of which it takes a. If the body can't be read, the connection is
// closed after the answer.
func readBody(w http.ResponseWriter, r *http.Request, a *memory.Allowance) ([]byte, error) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), a)
	var tooLarge *http.MaxBytesError
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.NotRun(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, errNoBodyMemory):
		e := result.NotRun(result.NoMemory, "%v", err)
		e.RetryAfter = bodyRetry
		return nil, e
	case err != nil:
		return nil, result.NotRun(result.BadRequest, "the body could not be read: %v", err)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads r to its end. The buffer grows with what has arrived; the memory for it is
// taken first, except that of small bodies, so that large ones can't make them fail.
func readAll(r io.Reader, a *memory.Allowance) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(minBodyCapacity, 2*int64(cap(body))), maxBodyBytes+1)
			if over := size - max(smallBodyBytes, int64(cap(body))); over > 0 && !a.Take(over) {
				return nil, errNoBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// checkBody returns an error with line and column unless body is a single JSON
// value that is nested at most maxNesting deep.
func checkBody(body []byte) error {
	if at := findExcessNesting(body); at >= 0 {
		return bodyError(body, at, fmt.Sprintf("nested more than %d levels deep", maxNesting))
	}
	if json.Valid(body) {
		return nil
	}
	var v json.RawMessage
	err := json.Unmarshal(body, &v)
	at := len(body)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		at = max(int(syntax.Offset)-1, 0)
	}
	return bodyError(body, at, fmt.Sprintf("invalid JSON: %v", err))
}

// bodyError returns a BadRequest error with the line and column of byte offset at
// in body.
func bodyError(body []byte, at int, message string) error {
	before := body[:min(at, len(body))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := len(before) - bytes.LastIndexByte(before, '\n')
	e := result.NotRun(result.BadRequest, "%s", message)
	e.Place = fmt.Sprintf("body:%d:%d", line, column)
	return e
}

// findExcessNesting returns the byte offset of the first bracket that exceeds
// maxNesting, or -1.
func findExcessNesting(body []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			depth++
			if depth > maxNesting {
				return i
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return -1
}
