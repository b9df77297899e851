package upstream

import (
	"errors"
	"io"

	"berylswitch.example/berylswitch/internal/memory"
	"github.com/zeebo/errs"
)

// ErrTooLarge means that the body of a response exceeds the limit of its reader,
// or the memory that large responses may take together.
var ErrTooLarge = errs.New("response body is too large")

// UnaccountedBytes is the size below which a body takes nothing from a budget, so that
// large responses can't make small ones fail.
const UnaccountedBytes = 64 << 10

// Content is the body of a response that was read completely. It is kept in segments,
// whose memory is returned as they are written: a caller that reads slowly then holds only
// the memory of what has not been written yet.
type Content struct {
	segments []segment
	size     int64
	// capacity is the size of all segments.
	capacity int64
	memory   *memory.Allowance
}

// segment is a part of a body; taken is the number of bytes that it holds of the allowance.
type segment struct {
	bytes []byte
	taken int64
}

// Sizes of segments in bytes: the first has minSegmentBytes, each further one doubles the
// memory of the body up to maxSegmentBytes.
const (
	minSegmentBytes = 1 << 10
	maxSegmentBytes = 256 << 10
)

// ReadContent reads the complete body of r and closes it. It fails with ErrTooLarge if
// the body exceeds limit bytes or the allowance can't hold it, and with ErrBroken if it is
// incomplete; it never returns a part of a body without an error. A nil allowance doesn't
// account for the memory.
func (r *Response) ReadContent(limit int64, a *memory.Allowance) (*Content, error) {
	defer r.Body.Close()
	if r.Length > limit {
		return nil, wrapBroken(ErrTooLarge)
	}
	c := &Content{memory: a}
	// Room for one byte more than expected shows whether the body ends there.
	most := limit
	if r.Length >= 0 {
		most = r.Length
	}
	for {
		err := c.readSome(r.Body, most)
		switch {
		case c.size > limit:
			return nil, wrapBroken(ErrTooLarge)
		case errors.Is(err, io.EOF):
			return c, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow adds a segment, unless the allowance can't hold it. The segments hold one byte more
// than most.
func (c *Content) grow(most int64) bool {
	capacity := c.capacity
	n := min(max(minSegmentBytes, capacity), maxSegmentBytes, most+1-capacity)
	s := segment{}
	if over := capacity + n - max(capacity, UnaccountedBytes); c.memory != nil && over > 0 {
		if !c.memory.Take(over) {
			return false
		}
		s.taken = over
	}
	s.bytes = make([]byte, 0, n)
	c.segments = append(c.segments, s)
	c.capacity += n
	return true
}

// probeBytes is the size of the read that shows whether a body ends where a further segment
// would take counted memory.
const probeBytes = 256

// readSome reads into the last segment, or into a new one if that is full.
func (c *Content) readSome(r io.Reader, most int64) error {
	if c.size == c.capacity && c.capacity >= UnaccountedBytes && c.memory != nil {
		return c.readFurther(r, most)
	}
	if c.size == c.capacity && !c.grow(most) {
		return wrapBroken(ErrTooLarge)
	}
	last := &c.segments[len(c.segments)-1]
	n, err := r.Read(last.bytes[len(last.bytes):cap(last.bytes)])
	last.bytes = last.bytes[:len(last.bytes)+n]
	c.size += int64(n)
	return err
}

// readFurther adds a segment, which takes counted memory, if the body has not ended.
func (c *Content) readFurther(r io.Reader, most int64) error {
	probe := make([]byte, min(probeBytes, most+1-c.capacity))
	n, err := r.Read(probe)
	if n == 0 {
		return err
	}
	if !c.grow(most) {
		return wrapBroken(ErrTooLarge)
	}
	last := &c.segments[len(c.segments)-1]
	last.bytes = append(last.bytes, probe[:n]...)
	c.size += int64(n)
	return err
}

// Len returns the size of the body in bytes.
func (c *Content) Len() int64 { return c.size }

// WriteTo writes the body and returns the memory of each part that has been written.
func (c *Content) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for i := range c.segments {
		s := &c.segments[i]
		n, err := w.Write(s.bytes)
		total += int64(n)
		if err != nil {
			return total, err
		}
		s.bytes = nil
		if s.taken > 0 {
			c.memory.Return(s.taken)
		}
	}
	c.segments = nil
	return total, nil
}

// ReadAll is like ReadContent and returns the body in one piece.
func (r *Response) ReadAll(limit int64, a *memory.Allowance) ([]byte, error) {
	c, err := r.ReadContent(limit, a)
	if err != nil {
		return nil, err
	}
	body := make([]byte, 0, c.size)
	for _, s := range c.segments {
		body = append(body, s.bytes...)
	}
	return body, nil
}
