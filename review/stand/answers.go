package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case "answers".
const (
	answersWorkers   = 5
	answersFaulty    = 3 // of the stage workers
	answersSendEvery = 100 * time.Millisecond
	answersTime      = 90 * time.Second
	answersDeadline  = 8 * time.Second
	// errorShare is the share of pieces that a sound worker can't make.
	errorShare = 0.02
	// A worker in trouble answers a second time, late, after at most extraShare of its
	// answers, for extraTime at a time.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	extraPause = 500 * time.Millisecond
	// Figures of the stage's service.
	callTime   = 150 * time.Millisecond
	pieceTime  = 16 * time.Millisecond
	stageQueue = 2
)

// stagePool makes the results of all stage workers.
type stagePool struct {
	stand  *Stand
	ledger *Ledger
	start  time.Time

	mu sync.Mutex
	// calls and turns belong to each worker: the calls that it has, and the one that is
	// worked on.
	calls map[*Worker]int
	turns map[*Worker]*sync.Mutex
	// answers and extras count the answers of the workers in trouble.
	answers, extras int
}

// inTrouble reports whether w may answer a second time now.
func (p *stagePool) inTrouble(w *Worker) bool {
	window := time.Since(p.start) % (extraTime + extraPause)
	return p.stand.Trouble && w.Addr != "" && strings.Compare(w.ID, fmt.Sprintf("i-%s-%d", stageService, answersFaulty)) <= 0 && window < extraTime
}

// begin takes a place for a call at w, unless it is full.
func (p *stagePool) begin(w *Worker) (turn *sync.Mutex, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[w] > stageQueue {
		return nil, false
	}
	p.calls[w]++
	if p.turns[w] == nil {
		p.turns[w] = &sync.Mutex{}
	}
	return p.turns[w], true
}

func (p *stagePool) end(w *Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[w]--
}

// handle answers the calls to a stage worker.
func (p *stagePool) handle(c *workerConn, req *http.Request, body []byte) bool {
	if req.URL.Path != "/berylswitch/stage-run" {
		return c.respond(req, http.StatusOK, nil, nil)
	}
	items, err := decodeItems(body)
	if err != nil {
		return c.respond(req, http.StatusBadRequest, map[string]string{"Not-Executed": "1"}, nil)
	}
	arrived := time.Now()
	turn, ok := p.begin(c.worker)
	if !ok {
		return c.respond(req, http.StatusServiceUnavailable, map[string]string{"Not-Executed": "1"}, nil)
	}
	turn.Lock()
	results, made := p.makeResults(c.worker, items, arrived)
	turn.Unlock()
	p.end(c.worker)
	b, _ := json.Marshal(map[string]any{"items": results})
	header := map[string]string{"Content-Type": "application/json", "Server-Load": "0,0,1"}
	if !c.respond(req, http.StatusOK, header, b) {
		return false
	}
	if p.takeExtra(c.worker, made) {
		p.stand.Record.Add("worker %s will answer its call with %s once more", c.worker.ID, items[0].ID)
		c.late = encode(req, http.StatusOK, header, b)
	}
	return true
}

// takeExtra counts an answer and reports whether it is followed by a second one. The
// trouble strikes answers without results.
func (p *stagePool) takeExtra(w *Worker, made int) bool {
	if !p.inTrouble(w) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if made > 0 || float64(p.extras+1) > extraShare*float64(p.answers) {
		return false
	}
	p.extras++
	return true
}

// makeResults works on a call and returns its results and how many were made.
func (p *stagePool) makeResults(w *Worker, items []stageItem, arrived time.Time) ([]stageResult, int) {
	time.Sleep(callTime + time.Duration(len(items))*pieceTime)
	results := make([]stageResult, len(items))
	made := 0
	for i, item := range items {
		switch {
		case item.RemainingMS > 0 && time.Since(arrived) > time.Duration(item.RemainingMS)*time.Millisecond+callTime:
			results[i].Reason = "late"
		case rand.Float64() < errorShare:
			results[i].Reason = "error"
		default:
			results[i].Handle = p.ledger.Add(w.Addr, Piece{item.ID, item.Stage, item.Segment})
			made++
		}
		p.stand.Record.Add("worker %s makes %s stage %d piece %d: %s%s", w.ID, item.ID, item.Stage, item.Segment, results[i].Handle, results[i].Reason)
	}
	return results, made
}

// runAnswers lets stage workers answer a second time. It returns how many requests
// were given inputs of other requests.
func runAnswers(s *Stand) (int, error) {
	pool := &stagePool{stand: s, ledger: &Ledger{}, start: time.Now(), calls: map[*Worker]int{}, turns: map[*Worker]*sync.Mutex{}}
	var mu sync.Mutex
	mixed := 0
	handleModel := func(c *workerConn, req *http.Request, _ []byte) bool {
		id := req.Header.Get("Request-Id")
		for _, handle := range strings.Split(req.Header.Get("Inputs"), ",") {
			piece, ok := pool.ledger.Find(handle)
			if !ok {
				return c.respond(req, http.StatusConflict, map[string]string{"Not-Executed": "1"}, nil)
			}
			if piece.Request != id {
				mu.Lock()
				mixed++
				mu.Unlock()
				s.Record.Add("MIXED: %s runs with %s, which was made for %s", id, handle, piece.Request)
			}
		}
		s.Record.Add("worker %s runs %s with %s", c.worker.ID, id, req.Header.Get("Inputs"))
		return c.stream(req, streamPlan{first: 100 * time.Millisecond, pause: 20 * time.Millisecond, events: 8}, nil)
	}
	if _, err := s.StartWorkers(engineService, 31, 3, 128, handleModel); err != nil {
		return 0, err
	}
	if _, err := s.StartWorkers(stageService, 51, answersWorkers, 1, pool.handle); err != nil {
		return 0, err
	}
	stages := []map[string]any{{"service": stageService, "after": []int{}, "bytes": 8000}}
	services := []map[string]any{engine, {
		"name": stageService, "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false,
		"segments": map[string]any{"slots": 1, "queue": stageQueue, "batch": 8, "callMs": 150.0, "itemMs": 16.0, "headroomMb": 36.0, "handleS": 4.0, "bandwidthMbps": 10000},
	}}
	if err := s.StartHosts(2, config([]map[string]any{streamRoute("digest", 8000, 2, stages)}, services)); err != nil {
		return 0, err
	}
	pool.start = time.Now()
	var sent sync.WaitGroup
	served, total := 0, 0
	for time.Since(pool.start) < answersTime {
		total++
		q := &Request{ID: newID("digest"), Method: http.MethodPost, Host: routeHost, Path: "/digest/2f", Key: tenantKey, Chunks: "1",
			Body: fmt.Sprintf("digest %d", total), Prompt: fmt.Sprintf("5c1e07a2:568,%x:1800", total), Deadline: answersDeadline}
		host := s.Hosts[total%len(s.Hosts)]
		sent.Go(func() {
			s.Record.Add("client sends %s to %s", q.ID, host.Name)
			q.Send(host)
			s.Record.Add("client has %s from %s: %s", q.ID, q.Machine, q.Outcome())
			mu.Lock()
			defer mu.Unlock()
			if q.Served() {
				served++
			}
		})
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(answersSendEvery)))
	}
	sent.Wait()
	s.Record.Say("%d of %d requests served; %d second answers after %d answers of the workers in trouble", served, total, pool.extras, pool.answers)
	s.Record.Say("%d inputs of other requests", mixed)
	return mixed, nil
}
