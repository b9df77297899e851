package link

import (
	"net"
	"os"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// pipeCapacity is the number of bytes that one direction holds before writes
// block.
const pipeCapacity = 256 << 10

// pipe is one direction of a connection: a queue of chunks, each of which can be
// read from its arrival on.
type pipe struct {
	m     *Memory
	route route

	mu              sync.Mutex
	chunks          []chunk
	size            int
	writeEnd        error // set once nothing more is written; returned after the chunks are read
	broken          error // set once the pipe is broken for both sides
	readDeadline    time.Time
	writeDeadline   time.Time
	deliveryTimeout time.Duration // after which chunks are dropped; zero means never
	silent          bool          // set once nothing arrives any more
	changed         chan struct{}
}

type chunk struct {
	data    []byte
	arrival time.Time
}

func newPipe(m *Memory, r route) *pipe {
	return &pipe{m: m, route: r, changed: make(chan struct{})}
}

// signal wakes every waiter. p.mu is held.
func (p *pipe) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (int, error) {
	for {
		_, d, _ := p.m.state(p.route)
		p.mu.Lock()
		if err := p.writeError(); err != nil {
			p.mu.Unlock()
			return 0, err
		}
		if p.size < pipeCapacity {
			p.chunks = append(p.chunks, chunk{append([]byte(nil), b...), time.Now().Add(d)})
			p.size += len(b)
			p.signal()
			p.mu.Unlock()
			return len(b), nil
		}
		changed, deadline := p.changed, p.writeDeadline
		p.mu.Unlock()
		wait(changed, nil, deadline)
	}
}

func (p *pipe) writeError() error {
	switch {
	case p.broken != nil:
		return p.broken
	case p.writeEnd != nil:
		return net.ErrClosed
	case passed(p.writeDeadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

func passed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (p *pipe) read(b []byte) (int, error) {
	for {
		cut, _, linkChanged := p.m.state(p.route)
		p.mu.Lock()
		n, until, err := p.tryRead(b, cut || p.silent)
		changed := p.changed
		p.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		wait(changed, linkChanged, until)
	}
}

// tryRead reads bytes that have arrived. If there are none, it returns the time
// at which to try again, or the zero time if there is no such time. p.mu is held.
func (p *pipe) tryRead(b []byte, cut bool) (int, time.Time, error) {
	if p.broken != nil {
		return 0, time.Time{}, p.broken
	}
	if passed(p.readDeadline) {
		return 0, time.Time{}, os.ErrDeadlineExceeded
	}
	if len(b) == 0 || cut {
		return 0, p.readDeadline, nil
	}
	if len(p.chunks) == 0 {
		return 0, p.readDeadline, p.writeEnd
	}
	first := &p.chunks[0]
	if time.Until(first.arrival) > 0 {
		return 0, earliest(first.arrival, p.readDeadline), nil
	}
	if p.breakIfLate(first) {
		return 0, time.Time{}, p.broken
	}
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.signal()
	return n, time.Time{}, nil
}

func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// wait returns when either channel is closed or at the time until, unless that is
// the zero time.
func wait(a, b <-chan struct{}, until time.Time) {
	var timeout <-chan struct{}
	if !until.IsZero() {
		done, stop := clock.Timer(time.Until(until))
		defer stop()
		timeout = done
	}
	select {
	case <-a:
	case <-b:
	case <-timeout:
	}
}

// silence delivers nothing from now on.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// finish ends the stream after the bytes already written.
func (p *pipe) finish(end error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeEnd == nil {
		p.writeEnd = end
		p.signal()
	}
}

// abort ends the stream at once.
func (p *pipe) abort(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = err
		p.signal()
	}
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.signal()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	p.signal()
}
