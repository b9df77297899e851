package host

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/pkg/result"
)

// Limits on the size of a caller's request and on the time for sending it and
// for reading the answer.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	maxNesting     = 64

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

// setBodyDeadline bounds the time for reading the body of a request. It also
// applies to a request that is refused before its body is read, since the server
// then reads the rest of the body.
func setBodyDeadline(w http.ResponseWriter, now time.Time) {
	http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout))
}

// readBody reads the body of a request within the limits on its size and time.
// If the body can't be read, the connection is closed after the answer.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.NotRun(result.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, result.NotRun(result.BadRequest, "the body could not be read: %v", err)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
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
