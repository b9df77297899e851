package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a server of one service. It speaks HTTP/1.1 on raw connections, since a
// worker in trouble writes what no HTTP library writes.
type Worker struct {
	ID, Service, Addr string
	Slots             int

	store  *Store
	record *Record
	// handle answers one request and reports whether the connection can go on.
	handle func(c *workerConn, req *http.Request, body []byte) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*workerConn]bool
	sequence int
	born     int64
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	worker *Worker
	// late is written at the point where the next response is expected.
	late []byte
}

// Start listens on a free port of ip and registers the worker.
func (w *Worker) Start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	w.Addr = l.Addr().String()
	w.serve(l)
	return nil
}

// serve begins a new incarnation on l.
func (w *Worker) serve(l net.Listener) {
	w.mu.Lock()
	w.listener, w.conns = l, map[*workerConn]bool{}
	w.born, w.sequence = time.Now().UnixMilli(), 0
	w.mu.Unlock()
	w.Register("ready")
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serveConn(&workerConn{Conn: conn, worker: w})
		}
	}()
}

// Register writes the worker's entry.
func (w *Worker) Register(state string) {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.Service, "address": w.Addr, "zone": "zone-a", "version": "v1", "slots": w.Slots,
		"state": state, "coldLeftMs": 0, "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.store.PutJSON(workersTopic, w.ID, entry)
}

// Remove removes the worker's entry.
func (w *Worker) Remove() { w.store.Put(workersTopic, w.ID, nil) }

func (w *Worker) serveConn(c *workerConn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if c.late != nil {
			if _, err := c.Write(c.late); err != nil {
				return
			}
			c.late = nil
		}
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != w.ID {
			c.respond(req, http.StatusMisdirectedRequest, map[string]string{"Not-Executed": "1"}, nil)
			continue
		}
		if !w.handle(c, req, body) {
			return
		}
	}
}

// Crash ends the worker with all its connections, and starts it again after a time.
func (w *Worker) Crash(down time.Duration) {
	w.mu.Lock()
	if w.listener == nil {
		w.mu.Unlock()
		return
	}
	w.listener.Close()
	w.listener = nil
	for c := range w.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	w.mu.Unlock()
	w.record.Add("worker %s crashes", w.ID)
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", w.Addr)
		if err != nil {
			w.record.Add("worker %s can't start again: %v", w.ID, err)
			return
		}
		w.record.Add("worker %s is back", w.ID)
		w.serve(l)
	})
}

// encode returns a response with a length. A worker echoes the id of the request.
func encode(req *http.Request, status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := req.Header.Get("Request-Id"); id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// respond writes a response and reports whether it could.
func (c *workerConn) respond(req *http.Request, status int, header map[string]string, body []byte) bool {
	_, err := c.Write(encode(req, status, header, body))
	return err == nil
}

// signature returns the signature of an answer of the worker.
func (w *Worker) signature(req *http.Request) string {
	return "sig." + w.ID + "." + req.Header.Get("Request-Id")
}

// streamPlan says how a worker answers a stream.
type streamPlan struct {
	first, pause time.Duration
	events       int
	// After putBackAfter events, unless zero, there is none for putBackTime.
	putBackAfter int
	putBackTime  time.Duration
}

// stream answers with a stream of events in chunks and reports whether it could. begun,
// unless nil, is called before the first event, and ends the stream if it returns
// false.
func (c *workerConn) stream(req *http.Request, p streamPlan, begun func() bool) bool {
	time.Sleep(p.first)
	if begun != nil && !begun() {
		return false
	}
	from := 0
	if v := req.Header.Get("Last-Event-Id"); v != "" {
		from, _ = strconv.Atoi(v)
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		req.Header.Get("Request-Id"), c.worker.signature(req)); err != nil {
		return false
	}
	for i := from + 1; i <= p.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 16))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(p.pause)
		if i == p.putBackAfter {
			time.Sleep(p.putBackTime)
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// Piece is a piece of a stage.
type Piece struct {
	Request        string
	Stage, Segment int
}

// Ledger knows which results all stage workers have made.
type Ledger struct {
	mu   sync.Mutex
	made map[string]Piece
	next int
}

// Add records a new result and returns its handle.
func (l *Ledger) Add(addr string, p Piece) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.made == nil {
		l.made = map[string]Piece{}
	}
	l.next++
	handle := fmt.Sprintf("%s/%08x", addr, 0x5c1e07a2+l.next*7919)
	l.made[handle] = p
	return handle
}

// Find returns the piece for which the result was made.
func (l *Ledger) Find(handle string) (Piece, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.made[handle]
	return p, ok
}

// stageItem is an item of a call to a stage worker.
type stageItem struct {
	ID          string `json:"id"`
	Stage       int    `json:"stage"`
	Segment     int    `json:"segment"`
	RemainingMS int64  `json:"remainingMs"`
	Key         string `json:"key"`
}

// stageResult is an item of the answer of a stage worker.
type stageResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// decodeItems decodes the body of a call to a stage worker.
func decodeItems(body []byte) ([]stageItem, error) {
	var call struct {
		Items []stageItem `json:"items"`
	}
	err := json.Unmarshal(body, &call)
	return call.Items, err
}
