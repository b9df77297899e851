package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/review/stand3/kit"
)

// The stage pool, as its configuration says.
const (
	poolSlots  = 6
	poolQueue  = 2
	poolBatch  = 8
	callTime   = 150 * time.Millisecond
	pieceTime  = 16 * time.Millisecond
	resultLife = 4 * time.Second
)

// result is what a worker of the pool made for one piece of one request.
type result struct {
	request        string
	stage, segment int
	madeAt         time.Time
}

// results holds the results of all workers of the pool by their handles.
type results struct {
	mu   sync.Mutex
	made map[string]result
	// freed holds the handles that were given up.
	freed map[string]bool
}

// find returns the result with a handle, and whether its maker still has it.
func (s *results) find(handle string) (res result, live, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res, known = s.made[handle]
	return res, known && !s.freed[handle] && time.Since(res.madeAt) < resultLife, known
}

// poolWorker is a worker of the stage pool. It is faulty: of a share of its answers it sends a
// second copy, late, at the point where the next answer on the connection is expected.
type poolWorker struct {
	*kit.Worker
	run     *kit.Run
	results *results
	// copyShare is the share of the answers that are sent twice.
	copyShare float64

	mu      sync.Mutex
	waiting int
	// slots holds an element for each call that is worked on.
	slots chan struct{}
	// answers and copies count the answers to calls and their second copies.
	answers, copies int
}

// item is an item of a call or of an answer.
type item struct {
	ID      string   `json:"id,omitempty"`
	Stage   int      `json:"stage,omitempty"`
	Segment int      `json:"segment,omitempty"`
	Key     string   `json:"key,omitempty"`
	Inputs  []string `json:"inputs,omitempty"`
	Handle  string   `json:"handle,omitempty"`
}

type call struct {
	Items   []item   `json:"items"`
	Handles []string `json:"handles"`
}

// listen starts the worker.
func (p *poolWorker) listen() {
	l, err := net.Listen("tcp", p.Addr)
	if err != nil {
		p.run.Cannot("worker %s: %v", p.ID, err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	p.Register()
}

// serve answers the calls of one connection, one after another.
func (p *poolWorker) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	pending := "" // the second copy of the last answer
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		var c call
		if len(body) > 0 && json.Unmarshal(body, &c) != nil {
			return
		}
		if pending != "" {
			p.run.Logf("%s sends the second copy on %s", p.ID, conn.RemoteAddr())
			io.WriteString(conn, pending)
			pending = ""
		}
		answer, copied := p.answer(req, &c)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if copied {
			p.run.Logf("%s will send this answer on %s twice: %s", p.ID, conn.RemoteAddr(), describe(c.Items))
			pending = answer
		}
	}
}

// describe lists the pieces of a call.
func describe(items []item) string {
	out := ""
	for _, i := range items {
		out += fmt.Sprintf("%s/%d/%d ", i.ID, i.Stage, i.Segment)
	}
	return out
}

// answer handles a request. It reports whether the answer will be sent a second time.
func (p *poolWorker) answer(req *http.Request, c *call) (answer string, copied bool) {
	switch {
	case req.URL.Path == "/healthz":
		return response("200 OK", "Instance-Id: "+p.ID+"\r\n", ""), false
	case req.URL.Path == "/berylswitch/stage-free":
		p.results.mu.Lock()
		for _, h := range c.Handles {
			p.results.freed[h] = true
		}
		p.results.mu.Unlock()
		return response("200 OK", "", ""), false
	case req.URL.Path != "/berylswitch/stage-run":
		return response("404 Not Found", "", ""), false
	case req.Header.Get("Expect-Instance") != p.ID:
		return response("421 Misdirected Request", "Instance-Id: "+p.ID+"\r\n", ""), false
	}
	p.mu.Lock()
	full := p.waiting >= poolSlots+poolQueue
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		return response("503 Service Unavailable", "Not-Executed: 1\r\n", ""), false
	}
	p.run.Logf("%s runs a call with the pieces %s", p.ID, describe(c.Items))
	p.slots <- struct{}{}
	time.Sleep(callTime + time.Duration(len(c.Items))*pieceTime)
	<-p.slots
	var out call
	p.results.mu.Lock()
	for _, i := range c.Items {
		handle := fmt.Sprintf("%s/%012x", p.Addr, rand.Uint64()>>16)
		p.results.made[handle] = result{i.ID, i.Stage, i.Segment, time.Now()}
		out.Items = append(out.Items, item{Handle: handle})
	}
	p.results.mu.Unlock()
	b, err := json.Marshal(map[string]any{"items": out.Items})
	if err != nil {
		return response("500 Internal Server Error", "", ""), false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.answers++
	// Never more copies than the share of the answers so far.
	if rand.Float64() < p.copyShare && float64(p.copies+1) <= p.copyShare*float64(p.answers)+1 {
		p.copies++
		copied = true
	}
	load := fmt.Sprintf("Server-Load: %d,%d,%d\r\n", min(p.waiting, poolSlots), max(0, p.waiting-poolSlots), poolSlots)
	return response("200 OK", load+"Content-Type: application/json\r\n", string(b)), copied
}

func response(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}
