package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// pathLog records the path with which each request ran.
type pathLog struct {
	mu   sync.Mutex
	runs map[string]string
}

func (p *pathLog) run(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
	id := r.Header.Get("Request-Id")
	w.began(r, id)
	// A request line may name the host before the path; the path is what follows it.
	path := r.RequestURI
	if _, rest, ok := strings.Cut(path, "://"); ok && !strings.HasPrefix(path, "/") {
		_, rest, _ = strings.Cut(rest, "/")
		path = "/" + rest
	}
	p.mu.Lock()
	p.runs[id] = path
	p.mu.Unlock()
	rw.Header().Set("Response-Signature", signature(id))
	fmt.Fprintf(rw, "ran %s\n", path)
}

// path returns the path with which a request ran, if it did.
func (p *pathLog) path(id string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, ok := p.runs[id]
	return path, ok
}
