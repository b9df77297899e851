package host

import (
	"bytes"
	"net/http"
	"strconv"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/pkg/caller"
)

// reply writes the answer to a caller, whole or as a stream of events.
type reply struct {
	clock  *clock.Service
	w      http.ResponseWriter
	c      *http.ResponseController
	stream bool
	// onEnd is called once the last byte is written.
	onEnd func()

	seq int
}

func newReply(c *clock.Service, r *http.Request, w http.ResponseWriter) *reply {
	return &reply{clock: c, w: w, c: http.NewResponseController(w), stream: streams(r)}
}

// emit sends a piece of the output.
func (o *reply) emit(data string) error {
	if o.seq == 0 {
		o.w.Header().Set("Content-Type", caller.StreamType)
		o.w.WriteHeader(http.StatusOK)
	}
	return o.event(&caller.Event{Data: data})
}

// event writes and flushes one event within writeTimeout.
func (o *reply) event(e *caller.Event) error {
	e.Seq = o.seq
	o.seq++
	o.c.SetWriteDeadline(o.clock.Now().Add(writeTimeout))
	if err := encode(o.w, e); err != nil {
		return err
	}
	return o.c.Flush()
}

// end sends the answer that ends the request.
func (o *reply) end(a *caller.Answer) {
	if o.onEnd != nil {
		defer o.onEnd()
	}
	if o.stream {
		if o.seq == 0 {
			o.begin(a, caller.StreamType)
		}
		o.event(&caller.Event{Answer: a})
		return
	}
	o.whole(a)
}

// whole sends an answer that is not streamed. With its length in the head it
// leaves in one write, and callers can use their connection again at once.
func (o *reply) whole(a *caller.Answer) {
	var body bytes.Buffer
	encode(&body, a)
	o.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	o.begin(a, "application/json")
	o.c.SetWriteDeadline(o.clock.Now().Add(writeTimeout))
	o.w.Write(body.Bytes())
	o.c.Flush()
}

// begin sends the head of an answer of which nothing was sent yet.
func (o *reply) begin(a *caller.Answer, kind string) {
	o.w.Header().Set("Content-Type", kind)
	o.w.WriteHeader(a.Code.Lookup().HTTPStatus)
}
