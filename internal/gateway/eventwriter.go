package gateway

import (
	"context"
	"net/http"
	"sync"

	"berylswitch.example/berylswitch/internal/memory"
)

// eventOverheadBytes is the memory that an event in the queue takes besides its bytes.
const eventOverheadBytes = 64

// queuedEvent is an event that has not been written to the caller.
type queuedEvent struct {
	raw []byte
	// taken is the number of bytes that the event holds of the budget.
	taken int64
}

// eventWriter writes events to a caller while the next ones are read from the target: a
// target aborts a response that stays unread for some seconds, and a caller that reads
// slowly would lose its stream. The queue holds a bounded number of bytes; when it is full,
// the target waits for the caller. One goroutine puts events, another one writes them.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// limit is the maximum number of bytes that are held.
	limit int64

	mu     sync.Mutex
	memory *memory.Allowance
	queue  []queuedEvent
	bytes  int64
	closed bool
	err    error
	// added wakes the goroutine that writes events, removed the one that puts them.
	added, removed chan struct{}
	done           chan struct{}
}

// startEventWriter starts to write to w. Its finish must be called.
func startEventWriter(w http.ResponseWriter, limit int64, budget *memory.Budget) *eventWriter {
	e := &eventWriter{
		w: w, control: http.NewResponseController(w), limit: limit, memory: budget.NewAllowance(),
		added: make(chan struct{}, 1), removed: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go e.run()
	return e
}

// tryPut adds an event and reports whether there was room for it. It fails if an earlier
// event could not be written.
func (e *eventWriter) tryPut(raw []byte) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		return false, e.err
	}
	n := int64(len(raw)) + eventOverheadBytes
	// One event is always taken, so that streams go on when the budget is used up.
	if len(e.queue) > 0 && (e.bytes+n > e.limit || !e.memory.Take(n)) {
		return false, nil
	}
	ev := queuedEvent{raw: raw, taken: n}
	if len(e.queue) == 0 && !e.memory.Take(n) {
		ev.taken = 0
	}
	e.queue = append(e.queue, ev)
	e.bytes += n
	notify(e.added)
	return true, nil
}

// put adds an event once there is room for it.
func (e *eventWriter) put(ctx context.Context, raw []byte) error {
	for {
		if ok, err := e.tryPut(raw); ok || err != nil {
			return err
		}
		select {
		case <-e.removed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// notify wakes the receiver of a channel with a buffer of one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run writes events until finish is called or writing fails.
func (e *eventWriter) run() {
	defer close(e.done)
	for {
		events, closed := e.next()
		if len(events) == 0 {
			if closed {
				return
			}
			<-e.added
			continue
		}
		err := e.write(events)
		e.remove(events, err)
		if err != nil {
			return
		}
	}
}

// next returns the events to be written, which stay counted until remove.
func (e *eventWriter) next() ([]queuedEvent, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue, e.closed
}

func (e *eventWriter) write(events []queuedEvent) error {
	for _, ev := range events {
		if _, err := e.w.Write(ev.raw); err != nil {
			return err
		}
	}
	return e.control.Flush()
}

// remove takes written events out of the queue.
func (e *eventWriter) remove(events []queuedEvent, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range events {
		e.memory.Return(ev.taken)
		e.bytes -= int64(len(ev.raw)) + eventOverheadBytes
	}
	e.queue = append([]queuedEvent(nil), e.queue[len(events):]...)
	e.err = err
	notify(e.removed)
}

// finish waits until all events are written, and returns the error of writing, if any.
func (e *eventWriter) finish() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	notify(e.added)
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Release()
	return e.err
}
