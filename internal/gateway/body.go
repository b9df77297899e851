package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/rcrowley/go-metrics"
)

// bodyPart is the part of the memory for bodies that a body holds.
type bodyPart int

const (
	noBody bodyPart = iota
	// smallBody is for bodies up to settings.SmallBodyBytes.
	smallBody
	largeBody
)

// bodyMemory bounds the memory of the bodies of callers' requests. Memory is taken before
// bytes are read. Small bodies have a part of their own, so that large ones can't make
// them fail.
type bodyMemory struct {
	small, large memory.Budget
}

func newBodyMemory(l settings.CallerLimits, conns *callerConns) *bodyMemory {
	m := &bodyMemory{}
	m.small.Bytes, m.large.Bytes = l.SmallBodyBytes, l.BodyBytes
	m.small.Relieve = func() *memory.Allowance { return conns.endPausedBody(smallBody) }
	m.large.Relieve = func() *memory.Allowance {
		// A paused body holds more than an idle connection.
		if a := conns.endPausedBody(largeBody); a != nil {
			return a
		}
		return conns.endIdleWindow()
	}
	return m
}

// Errors of bodies.
var (
	errBodyTooLarge = errors.New("body is too large")
	errNoBodyMemory = errors.New("no memory is left for the body")
)

// Sizes of the segments of a body in bytes.
const (
	// The first segment has minSegmentBytes, each further one doubles the body's memory up
	// to maxSegmentBytes, and the first ones together settings.SmallBodyBytes.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
	// probeBytes is the size of the read that shows whether a body without a length ends
	// where its memory does.
	probeBytes = 256
)

// body is the body of a caller's request. It grows by segments, which are never copied:
// a buffer that is copied when it grows takes up to three times the memory of its content.
type body struct {
	memory *bodyMemory
	// onPart, unless nil, is called when the memory of the body comes from another part.
	onPart func(bodyPart, *memory.Allowance)

	segments [][]byte
	size     int64
	capacity int64
	part     bodyPart
	taken    *memory.Allowance
}

// release returns the memory to its budget. It may be called more than once.
func (b *body) release() {
	if b.taken != nil {
		b.taken.Release()
	}
}

// writeTo writes the content to w, which must not fail.
func (b *body) writeTo(w io.Writer) {
	for _, s := range b.segments {
		w.Write(s)
	}
}

// readAll reads r to its end. The length is the announced one, or negative if there is
// none. A body of more than limit bytes is an error.
func (b *body) readAll(r io.Reader, length, limit int64) error {
	if length > limit {
		return errBodyTooLarge
	}
	for {
		n, err := b.readSome(r, length)
		b.size += int64(n)
		switch {
		case b.size > limit:
			return errBodyTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// readSome reads from r into the last segment, or into a new one if that is full.
func (b *body) readSome(r io.Reader, length int64) (int, error) {
	if b.size < b.capacity {
		last := &b.segments[len(b.segments)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		return n, err
	}
	if length > b.size {
		return 0, b.grow(length)
	}
	probe := make([]byte, probeBytes)
	n, err := r.Read(probe)
	if n == 0 {
		return 0, err
	}
	if err := b.grow(length); err != nil {
		return 0, err
	}
	last := &b.segments[len(b.segments)-1]
	*last = append(*last, probe[:n]...)
	return n, err
}

// grow adds a segment. It takes the memory for it first.
func (b *body) grow(length int64) error {
	n := min(max(minSegmentBytes, b.capacity), maxSegmentBytes)
	if length > b.size {
		n = min(n, length-b.size)
	}
	if err := b.take(n, length); err != nil {
		return err
	}
	b.segments = append(b.segments, make([]byte, 0, n))
	b.capacity += n
	return nil
}

// take takes n bytes of memory. Once the body is no longer small, all of its memory is
// taken from the part for large bodies.
func (b *body) take(n, length int64) error {
	part := smallBody
	if max(length, b.capacity+n) > settings.SmallBodyBytes {
		part = largeBody
	}
	if part == b.part {
		if !b.taken.Take(n) {
			return errNoBodyMemory
		}
		return nil
	}
	budget := &b.memory.small
	if part == largeBody {
		budget = &b.memory.large
	}
	taken := budget.NewAllowance()
	if !taken.Take(b.capacity + n) {
		return errNoBodyMemory
	}
	b.release()
	b.part, b.taken = part, taken
	if b.onPart != nil {
		b.onPart(part, taken)
	}
	return nil
}

// reader returns a reader of the content, or nil if there is none.
func (b *body) reader() io.Reader {
	if b.size == 0 {
		return nil
	}
	readers := make([]io.Reader, len(b.segments))
	for i, s := range b.segments {
		readers[i] = bytes.NewReader(s)
	}
	return io.MultiReader(readers...)
}

// readBody reads the complete body of q; limit is its maximum size in bytes, or zero for
// defaultBodyBytes. After an error nothing more is read from the connection, which is
// closed after the response.
func (h *Host) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if r.Body == http.NoBody {
		return nil
	}
	q.conn.limitBody(q.deadline)
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	q.body.memory = h.bodies
	q.body.onPart = func(p bodyPart, a *memory.Allowance) {
		q.conn.setPart(p, a)
		if p == largeBody {
			q.conn.widen(&h.bodies.large, size)
		}
	}
	err := q.body.readAll(r.Body, r.ContentLength, limit)
	ended := q.conn.endBody(err == nil)
	if err == nil {
		return nil
	}
	q.body.release()
	closeAfterResponse(w)
	q.conn.stopReading()
	if refusal := h.bodyRefusal(err, ended, limit, &q.body); refusal != nil {
		q.bodyRefused = true
		return refusal
	}
	return result.NotRun(result.BadRequest, "reading the body: %v", err)
}

// bodyRefusal returns the refusal of a request whose body the host has ended, and counts
// it. It returns nil if the caller has ended the body.
func (h *Host) bodyRefusal(err error, ended bodyEnd, limit int64, b *body) *result.Error {
	count := func(name string) { metrics.GetOrRegisterCounter("Bodies."+name, h.Metrics).Inc(1) }
	switch {
	case errors.Is(err, errBodyTooLarge):
		count("TooLarge")
		return result.NotRun(result.BodyTooLarge, "body exceeds %d bytes", limit)
	case errors.Is(err, errNoBodyMemory):
		count("Refused")
		return retryLater(result.NoMemory, bodyRetry(), "no memory is left for a body of more than %d bytes", b.capacity)
	case ended == bodyEvicted:
		count("Evicted")
		return retryLater(result.NoMemory, bodyRetry(), "the body paused while memory was short, %d bytes had come", b.size)
	case ended == bodyPaused:
		count("Paused")
		return result.NotRun(result.BodyTimeout, "no byte of the body came for %v, %d bytes had come", h.limits.BodyPause, b.size)
	case ended == bodyLate:
		count("Late")
		return result.NotRun(result.BodyTimeout, "the body was not complete in its time, %d bytes had come", b.size)
	default:
		return nil
	}
}

// minBodyRetry is the shortest time after which callers should come back if there is no
// memory for their bodies. It is spread so that they don't come back together.
const minBodyRetry = 500 * time.Millisecond

func bodyRetry() time.Duration { return minBodyRetry + rand.N(minBodyRetry) }

// closeAfterResponse makes the server close the connection after the response without
// reading the rest of the request, but late enough that the caller can read the response.
// A MaxBytesReader beyond its limit is the way in which net/http offers this.
func closeAfterResponse(w http.ResponseWriter) {
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	// The error is that of the limit.
	_, _ = io.Copy(io.Discard, over)
}
