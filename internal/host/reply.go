package host

import (
	"bytes"
	"net/http"
	"strconv"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/caller"
)

// replyWriter writes the answer to a caller, either whole or as a stream of
// events.
type replyWriter struct {
	clock      *clock.Service
	w          http.ResponseWriter
	controller *http.ResponseController
	stream     bool
	// onEnd, if set, is called after the last byte is written.
	onEnd func()

	seq int
}

func newReplyWriter(c *clock.Service, r *http.Request, w http.ResponseWriter) *replyWriter {
	return &replyWriter{clock: c, w: w, controller: http.NewResponseController(w), stream: wantsStream(r)}
}

// emit sends a piece of the output as an event.
func (o *replyWriter) emit(data string) error {
	if o.seq == 0 {
		o.w.Header().Set("Content-Type", caller.StreamType)
		o.w.WriteHeader(http.StatusOK)
	}
	return o.writeEvent(&caller.Event{Data: data})
}

// writeEvent writes and flushes one event within writeTimeout.
func (o *replyWriter) writeEvent(e *caller.Event) error {
	e.Seq = o.seq
	o.seq++
	o.controller.SetWriteDeadline(o.clock.Now().Add(writeTimeout))
	if err := encode(o.w, e); err != nil {
		return err
	}
	return o.controller.Flush()
}

// end sends the final answer of the request.
func (o *replyWriter) end(a *caller.Answer) {
	if o.onEnd != nil {
		defer o.onEnd()
	}
	if o.stream {
		if o.seq == 0 {
			o.writeHeader(a, caller.StreamType)
		}
		o.writeEvent(&caller.Event{Answer: a})
		return
	}
	o.writeWhole(a)
}

// writeWhole sends an answer that is not streamed. With Content-Length in the
// header it leaves in one write, and callers can reuse their connection at once.
func (o *replyWriter) writeWhole(a *caller.Answer) {
	var body bytes.Buffer
	encode(&body, a)
	o.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	o.writeHeader(a, "application/json")
	o.controller.SetWriteDeadline(o.clock.Now().Add(writeTimeout))
	o.w.Write(body.Bytes())
	o.controller.Flush()
}

// writeHeader sends the status and header of an answer of which nothing has been
// sent yet.
func (o *replyWriter) writeHeader(a *caller.Answer, kind string) {
	o.w.Header().Set("Content-Type", kind)
	o.w.WriteHeader(a.Code.Lookup().HTTPStatus)
}
