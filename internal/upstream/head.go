package upstream

import (
	"bufio"
	"io"
	"net/http"

	"github.com/zeebo/errs"
)

// ErrHeadTooLarge means that a response started with more than maxHeadBytes of
// status lines and headers, or with too many interim responses.
var ErrHeadTooLarge = errs.New("response head is too large")

const (
	// maxHeadBytes limits what a target may send ahead of the body of a response:
	// its head, and the interim and foreign responses before it.
	maxHeadBytes = 32 << 10
	// maxInterimResponses is the maximum number of interim responses (1xx) before a
	// response.
	maxInterimResponses = 8
	// Statuses outside these bounds are not statuses of HTTP.
	minStatus, maxStatus = 100, 599
	// maxForeignResponses is the maximum number of responses to other requests that
	// are skipped.
	maxForeignResponses = 2
	// maxForeignBytes limits the body of a skipped response; a body of this size or
	// more is an error.
	maxForeignBytes = 1 << 20
)

// headLimiter reads from a connection and fails once a head takes more than its
// limit. The parser of net/http has no limit of its own: it collects a line, and
// all lines of a header, in memory until they end.
type headLimiter struct {
	r io.Reader
	// limited is set while a head is read; left is the number of bytes that it may
	// still take from r.
	limited bool
	left    int
}

// Read reads from r within the limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readResponse reads the response to req. It skips responses that matches, unless
// nil, rejects: they belong to other requests.
func readResponse(conn *connection, req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	conn.limiter.left = maxHeadBytes
	interim, foreign := 0, 0
	for {
		resp, err := conn.readHead(req)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
			return nil, Error.New("response has the invalid status %q", resp.Status)
		case resp.StatusCode < http.StatusOK:
			if interim++; interim > maxInterimResponses {
				return nil, ErrHeadTooLarge
			}
		case matches == nil || matches(resp.Header):
			return resp, nil
		default:
			if foreign++; foreign > maxForeignResponses || resp.Close {
				return nil, Error.New("response belongs to another request")
			}
			if err := skipBody(resp); err != nil {
				return nil, err
			}
		}
	}
}

// readHead reads one status line and header.
func (c *connection) readHead(req *http.Request) (*http.Response, error) {
	c.limiter.limited = true
	defer func() { c.limiter.limited = false }()
	return http.ReadResponse(c.reader, req)
}

// skipBody reads the body of a foreign response to its end.
func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	if err != nil {
		return Error.New("response belongs to another request and is incomplete: %v", err)
	}
	if n == maxForeignBytes {
		return Error.New("response belongs to another request and exceeds %d bytes", maxForeignBytes)
	}
	return nil
}

// newReader returns the buffered reader of a connection's responses, and its
// limiter.
func newReader(r io.Reader) (*bufio.Reader, *headLimiter) {
	l := &headLimiter{r: r}
	return bufio.NewReaderSize(l, readBufferSize), l
}
