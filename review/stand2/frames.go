package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["frames"] = runFrames }

// The case: a stream whose events have data of a fixed size, so that the line with the data
// has as many bytes as the buffer of a reader.
const (
	frameLine   = 4096
	frameCount  = 6
	brokenFrame = 3
)

// runFrames lets a worker break off a resumable stream in the middle of an event, after the
// line with its data and before the empty line that ends it. The rule is ORDER: in a stream no
// piece is missing.
func runFrames(b *bench) (bool, error) {
	route := plainRoute("frames", "/frames/", "stream", "frames", 8000, 1900)
	route["itlTargetMs"], route["resumable"] = 500, true
	if err := b.configure(7, []document{route}, []document{plainService("frames")}); err != nil {
		return false, err
	}
	for range 2 {
		if err := b.startWorker(&worker{service: "frames", slots: 8, work: func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
			b.runFrames(w, rw, r, body)
		}}); err != nil {
			return false, err
		}
	}
	hosts, err := b.startHosts(1, smallMachine)
	if err != nil {
		return false, err
	}
	a := b.send(hosts[0], &call{id: newID(), method: "POST", host: "jepu9.example", target: "/frames/2f", deadline: 8 * time.Second, body: "prompt"})
	if a.status != http.StatusOK || a.err != nil {
		b.note("the stream is not complete, which is allowed")
		return false, nil
	}
	events := parseEvents(a.body)
	for _, ev := range events {
		b.note("event %s with %d lines of data", ev.id, len(ev.data))
	}
	broken := len(events) != frameCount
	for i, ev := range events {
		broken = broken || ev.id != fmt.Sprint(i+1) || len(ev.data) != 1 || ev.data[0] != frame("", i+1)
	}
	b.note("events of the worker: %d, of the complete answer: %d", frameCount, len(events))
	return broken, nil
}

// frame returns the data of an event.
func frame(_ string, event int) string {
	return strings.Repeat(string(rune('a'+event)), frameLine-len("data: "))
}

// runFrames answers with the stream. A run from the start breaks off within an event.
func (b *bench) runFrames(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
	if !b.trouble || r.Header.Get("Last-Event-Id") != "" {
		eventStream(20*time.Millisecond, 20*time.Millisecond, frameCount, frame)(w, rw, r, body)
		return
	}
	id := r.Header.Get("Request-Id")
	w.began(r, id)
	startStream(rw, id)
	for event := 1; event < brokenFrame; event++ {
		fmt.Fprint(rw, eventText(event, frame(id, event)))
		flush(rw)
		time.Sleep(20 * time.Millisecond)
	}
	text := eventText(brokenFrame, frame(id, brokenFrame))
	fmt.Fprint(rw, text[:len(text)-1])
	flush(rw)
	time.Sleep(50 * time.Millisecond)
	b.note("worker %s breaks off its answer to %s in the middle of event %d", w.instance(), id, brokenFrame)
	panic(http.ErrAbortHandler)
}
