package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// eventStream returns work that answers with a stream of events, the first one after a time
// and the others with a pause between them. It goes on after Last-Event-Id. data returns the
// data of an event.
func eventStream(first, pause time.Duration, events int, data func(id string, event int) string) func(*worker, http.ResponseWriter, *http.Request, []byte) {
	return func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		w.began(r, id)
		after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0
		}
		startStream(rw, id)
		wait := first
		for event := after + 1; event <= events; event++ {
			time.Sleep(wait)
			wait = pause
			if _, err := fmt.Fprint(rw, eventText(event, data(id, event))); err != nil {
				return
			}
			flush(rw)
		}
	}
}

// startStream writes the head of a stream.
func startStream(rw http.ResponseWriter, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Response-Signature", signature(id))
	rw.WriteHeader(http.StatusOK)
	flush(rw)
}

// flush sends what was written. An error means that the host has left, which the next write
// shows.
func flush(rw http.ResponseWriter) { _ = http.NewResponseController(rw).Flush() }

// eventText returns the text of an event.
func eventText(event int, data string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", event, data)
}

// shortData is the data of events whose content does not matter.
func shortData(id string, event int) string { return fmt.Sprintf("event %d of %s", event, id) }

// receivedEvent is an event as a client parses it.
type receivedEvent struct {
	id   string
	data []string
}

// parseEvents parses a stream by the rules of text/event-stream: an empty line ends an event.
// What follows the last empty line is no event.
func parseEvents(body string) []receivedEvent {
	var out []receivedEvent
	var ev receivedEvent
	for line := range strings.Lines(body) {
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if ev.id != "" || len(ev.data) > 0 {
				out = append(out, ev)
			}
			ev = receivedEvent{}
			continue
		}
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			ev.id = strings.TrimSpace(id)
		}
		if data, ok := strings.CutPrefix(line, "data:"); ok {
			ev.data = append(ev.data, strings.TrimPrefix(data, " "))
		}
	}
	return out
}
