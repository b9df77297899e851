package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errCut is the error of a stream that ends within an event.
var errTruncatedEvent = errors.New("the stream ends within an event")

// errLongEvent is the error of an event beyond maxEventBytes.
var errEventTooLong = errors.New("an event is too long")

// event is one event of a stream as its target wrote it.
type event struct {
	raw []byte
	// id is the event's number, where it has one.
	id    int64
	hasID bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next whole event. It returns io.EOF at an end between two
// events.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		ev.raw = append(ev.raw, line...)
		switch {
		case err == io.EOF && len(ev.raw) > 0:
			return event{}, errTruncatedEvent
		case err != nil:
			return event{}, err
		case len(ev.raw) > maxEventBytes:
			return event{}, errEventTooLong
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && line[len(line)-1] == '\n' {
			return ev, nil
		}
		ev.readID(text)
	}
}

// readID takes the number of the event from an id line.
func (ev *event) readID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		ev.id, ev.hasID = id, true
	}
}
