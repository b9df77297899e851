package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["endless"] = runEndless }

// The case: streams whose workers send bytes without the end of an event.
const (
	// A worker in trouble sends firstChunks at the speed of its link, and one small chunk
	// each chunkInterval from then on.
	firstChunks   = 28
	chunkBytes    = 32 << 10
	smallBytes    = 1 << 10
	chunkInterval = 100 * time.Millisecond
	endlessRun    = 10 * time.Second
)

// streamKind is one of the site's kinds of streams, with its rate a second, the burst of the
// site's days, and how long its clients wait for the first event.
type streamKind struct {
	prefix             string
	rate, burst        float64
	burstTime          time.Duration
	aimMS, deadlineMS  int
	patience, deadline time.Duration
}

// streamKinds are those of sdf-fairdesk: inkopsbrief, katalogsamm and tackbrev.
var streamKinds = []streamKind{
	{"/inkopsbrief/", 7.89, 2.5, 7 * time.Second, 1900, 10000, 7600 * time.Millisecond, 10 * time.Second},
	{"/katalogsamm/", 9.59, 2.5, 5900 * time.Millisecond, 1900, 8000, 7600 * time.Millisecond, 8 * time.Second},
	{"/tackbrev/", 8.53, 1, 0, 1000, 15000, 4 * time.Second, 15 * time.Second},
}

const (
	loadTime = 9 * time.Second
	burstsAt = time.Second
)

// send sends the streams of the kind to h for loadTime.
func (k streamKind) send(b *bench, h *host, clients *sync.WaitGroup) {
	for start := time.Now(); time.Since(start) < loadTime; {
		rate := k.rate
		if at := time.Since(start) - burstsAt; at >= 0 && at < k.burstTime {
			rate *= k.burst
		}
		clients.Go(func() {
			c := prompt("5c1e07a2:300")
			c.target, c.deadline, c.patience = k.prefix+"2f", k.deadline, k.patience
			b.send(h, c)
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// runEndless sends streams to one host whose workers send a head and then bytes that are no
// event, until the connection is closed. The rule is that no process ends or hangs, and that
// each stays within the memory of its machine.
func runEndless(b *bench) (bool, error) {
	var routes []document
	for _, k := range streamKinds {
		route := plainRoute(k.prefix, k.prefix, "stream", "models", k.deadlineMS, k.aimMS)
		route["sticky"], route["itlTargetMs"], route["attempts"] = true, 500, 1
		routes = append(routes, route)
	}
	if err := b.configure(7, routes, []document{plainService("models")}); err != nil {
		return false, err
	}
	work := eventStream(100*time.Millisecond, 500*time.Millisecond, 12, shortData)
	if b.trouble {
		work = endlessBody
	}
	for range 3 {
		if err := b.startWorker(&worker{service: "models", slots: 128, work: work}); err != nil {
			return false, err
		}
	}
	hosts, err := b.startHosts(1, smallMachine)
	if err != nil {
		return false, err
	}
	h := hosts[0]
	b.note("memory of %s before the streams: %d bytes, of its machine: %.0f bytes", h.name, h.memory("VmHWM"), smallMachine.memoryMB*1e6)
	over := make(chan bool, 1)
	go func() { over <- h.watchMemory(smallMachine.memoryMB * 1e6) }()
	var clients sync.WaitGroup
	for _, k := range streamKinds {
		clients.Go(func() { k.send(b, h, &clients) })
	}
	clients.Wait()
	exceeded := <-over
	b.note("%s ended by itself: %v; it exceeded the memory of its machine: %v", h.name, h.endedByItself(), exceeded)
	return exceeded || h.endedByItself(), nil
}

// watchMemory writes the memory of the process to the record for endlessRun, and reports
// whether it was more than limit bytes at any time.
func (h *host) watchMemory(limit float64) (exceeded bool) {
	for start := time.Now(); time.Since(start) < endlessRun && !h.endedByItself(); time.Sleep(500 * time.Millisecond) {
		most := h.memory("VmHWM")
		h.b.note("memory of %s: %d bytes, at most %d so far", h.name, h.memory("VmRSS"), most)
		exceeded = exceeded || float64(most) > limit
	}
	return exceeded
}

// endlessBody sends the head of a stream and then bytes without the end of a line.
func endlessBody(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
	id := r.Header.Get("Request-Id")
	w.began(r, id)
	startStream(rw, id)
	for n := 0; ; n++ {
		size := smallBytes
		if n < firstChunks {
			size = chunkBytes
		}
		if _, err := fmt.Fprint(rw, strings.Repeat("x", size)); err != nil {
			return
		}
		flush(rw)
		if n >= firstChunks {
			time.Sleep(chunkInterval)
		}
	}
}

// memory returns an amount of memory of the process in bytes, or zero if it has ended.
func (h *host) memory(field string) int64 {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		value, ok := strings.CutPrefix(line, field+":")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err == nil {
			return kb << 10
		}
	}
	return 0
}
