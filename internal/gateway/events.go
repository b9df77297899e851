package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errTruncatedEvent means that a stream ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event exceeds the maximum size")

// event is one server-sent event, with its bytes as the target wrote them.
type event struct {
	raw []byte
	// id is the event's number; valid if hasID is set.
	id    int64
	hasID bool
	// hasData is set if the event has a data line. An event without data or a number
	// is no progress of the stream.
	hasData bool
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next complete event, or io.EOF if the stream ends between two
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
		ev.readField(text)
	}
}

// readField takes the event's number from an id line and notes a data line.
func (ev *event) readField(line []byte) {
	ev.hasData = ev.hasData || bytes.HasPrefix(line, []byte("data"))
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		ev.id, ev.hasID = id, true
	}
}
