package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
)

// Server serves HTTP on one listener and can stop without dropping a request.
// Shutdown of net/http drops one that is still being read without an answer.
type Server struct {
	// Limit, unless nil, bounds the open connections. It must be set before Serve.
	Limit *ConnLimit

	http     *http.Server
	clock    *clock.Service
	listener net.Listener
	// served is closed when the server accepts no more connections.
	served chan struct{}
	// conns counts the open connections.
	conns sync.WaitGroup
}

// NewServer returns a server of s on l. It takes over s, whose ConnState must not
// be set.
func NewServer(c *clock.Service, s *http.Server, l net.Listener) *Server {
	server := &Server{http: s, clock: c, listener: l, served: make(chan struct{})}
	s.ConnState = server.countConn
	return server
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() error {
	defer close(s.served)
	return IgnoreClosed(s.http.Serve(s.listener))
}

// countConn is the ConnState hook of the HTTP server.
func (s *Server) countConn(c net.Conn, state http.ConnState) {
	if s.Limit != nil {
		s.Limit.Record(c, state)
	}
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Done()
	}
}

// idleCloseInterval is the time between two looks for idle connections of a server
// that drains.
const idleCloseInterval = 50 * time.Millisecond

// Drain stops accepting connections, answers the requests on those that were
// accepted, and closes each once it is idle. It returns when all are closed or, with
// an error, when ctx ends, and then closes the rest. Serve must have been called.
func (s *Server) Drain(ctx context.Context) error {
	s.listener.Close()
	<-s.served
	closed := make(chan struct{})
	go func() {
		s.conns.Wait()
		close(closed)
	}()
	for {
		// This also closes the connections that are idle.
		s.http.SetKeepAlivesEnabled(false)
		wait, stop := s.clock.After(idleCloseInterval)
		select {
		case <-closed:
			stop()
			return nil
		case <-ctx.Done():
			stop()
			s.http.Close()
			return ctx.Err()
		case <-wait:
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
