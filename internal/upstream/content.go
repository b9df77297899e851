package upstream

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// ErrTooLarge means that the body of a response exceeds the limit of its reader,
// or the memory that large responses may take together.
var ErrTooLarge = errs.New("response body is too large")

// unaccountedBytes is the size below which a body takes nothing from a
// MemoryBudget, so that large responses can't make small ones fail.
const unaccountedBytes = 64 << 10

// MemoryBudget bounds the memory that the bodies of large responses take together.
// Targets that send without end can then fail each other's responses, but not end
// the process. The zero value allows nothing.
type MemoryBudget struct {
	// Bytes is the size of the budget. It must be set before the first use.
	Bytes int64

	used atomic.Int64
}

// Allowance is the part of a MemoryBudget that the responses to one request take.
// It is not safe for concurrent use.
type Allowance struct {
	budget *MemoryBudget
	taken  int64
}

// NewAllowance returns an empty allowance. Release must be called when the bodies
// read with it are no longer used.
func (b *MemoryBudget) NewAllowance() *Allowance { return &Allowance{budget: b} }

// take reserves n bytes and reports whether they were available.
func (a *Allowance) take(n int64) bool {
	if a.budget.used.Add(n) > a.budget.Bytes {
		a.budget.used.Add(-n)
		return false
	}
	a.taken += n
	return true
}

// Release returns all bytes to the budget.
func (a *Allowance) Release() {
	a.budget.used.Add(-a.taken)
	a.taken = 0
}

// ReadAll reads the complete body of r and closes it. It fails with ErrTooLarge if
// the body exceeds limit bytes or the allowance can't hold it, and with ErrBroken
// if it is incomplete; it never returns a part of a body without an error. A nil
// allowance doesn't account for the memory.
func (r *Response) ReadAll(limit int64, a *Allowance) ([]byte, error) {
	defer r.Body.Close()
	if r.Length > limit {
		return nil, wrapBroken(ErrTooLarge)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, ok := grow(body, limit, a)
			if !ok {
				return nil, wrapBroken(ErrTooLarge)
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, wrapBroken(ErrTooLarge)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// minBodyCapacity is the capacity of the first buffer for a body in bytes.
const minBodyCapacity = 1 << 10

// grow returns body with twice its capacity, or false if the allowance can't hold
// that. The capacity exceeds limit by at least one byte, which shows that a body is
// too large.
func grow(body []byte, limit int64, a *Allowance) ([]byte, bool) {
	size := min(max(minBodyCapacity, 2*int64(cap(body))), limit+1)
	if a != nil && size > unaccountedBytes && !a.take(size-max(unaccountedBytes, int64(cap(body)))) {
		return nil, false
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, true
}
