package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/link"
	"go.uber.org/zap"
)

// Limits on callers' connections where the configuration sets no others.
const (
	defaultBodyBytes     = 8 << 20
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// replacedServerTimeout limits how long a server whose limits were replaced
	// waits for its requests.
	replacedServerTimeout = 30 * time.Second
)

// callerServer serves callers over HTTP. The limits of an http.Server are fixed
// while it runs, so new limits start a new server, and the old one drains.
type callerServer struct {
	host     *Host
	listener *link.RetryListener
	done     chan struct{}

	mu      sync.Mutex
	limits  catalog.Limits
	server  *link.Server
	conns   chan net.Conn
	stopped bool

	// shutdownCtx ends the wait for connections to become idle.
	shutdownCtx    context.Context
	cancelShutdown context.CancelFunc
	shutdowns      sync.WaitGroup
	// quiet is closed after stop, once every connection is closed.
	quiet chan struct{}
}

// start starts serving l.
func (s *callerServer) start(h *Host, l *link.RetryListener) {
	s.host, s.listener = h, l
	s.done, s.quiet = make(chan struct{}), make(chan struct{})
	s.shutdownCtx, s.cancelShutdown = context.WithCancel(context.Background())
	s.conns = make(chan net.Conn)
	s.mu.Lock()
	s.startServer()
	s.mu.Unlock()
	go s.accept()
}

// accept passes new connections to the current server.
func (s *callerServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.host.Log.Info("caller listener closed", journal.Error(err))
			return
		}
		if conn = s.host.conns.admit(conn); conn == nil {
			continue
		}
		select {
		case s.conns <- conn:
		case <-s.done:
			conn.Close()
			return
		}
	}
}

// startServer starts a server with the current limits; s.mu is held.
func (s *callerServer) startServer() {
	server := &http.Server{
		Handler:           s.host,
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ConnContext:       withCallerConn,
		ErrorLog:          zap.NewStdLog(s.host.Log),
	}
	if s.limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = s.limits.HeaderBytes
	}
	if s.limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = s.limits.HeaderTimeout
	}
	if s.limits.IdleTimeout > 0 {
		server.IdleTimeout = s.limits.IdleTimeout
	}
	s.host.conns.HeaderLimit.Store(int64(server.MaxHeaderBytes))
	l := &sharedListener{parent: s, closed: make(chan struct{})}
	drainable := link.NewServer(s.host.Clock, server, l)
	s.server = drainable
	go func() {
		if err := drainable.Serve(); err != nil {
			s.host.Log.Error("caller server failed", journal.Error(err))
		}
	}()
}

// setLimits applies limits to new connections.
func (s *callerServer) setLimits(limits catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits || s.stopped {
		return
	}
	s.limits = limits
	old := s.server
	s.startServer()
	s.shutdowns.Go(func() {
		ctx, cancel := context.WithTimeout(s.shutdownCtx, replacedServerTimeout)
		defer cancel()
		if err := old.Drain(ctx); err != nil {
			s.host.Log.Warn("connections still open on a server with replaced limits", journal.Error(err))
		}
	})
}

// stop stops accepting connections and closes idle ones.
func (s *callerServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	s.listener.Close()
	close(s.done)
	s.shutdowns.Go(func() {
		if err := s.server.Drain(s.shutdownCtx); err != nil {
			s.host.Log.Info("connections still open at shutdown", journal.Error(err))
		}
	})
	go func() {
		s.shutdowns.Wait()
		close(s.quiet)
	}()
}

// busy reports whether a connection may still carry a request: it has one, or was
// accepted lately and has sent none so far.
func (s *callerServer) busy() bool {
	select {
	case <-s.quiet:
		return false
	default:
		return true
	}
}

// close closes all connections.
func (s *callerServer) close() {
	s.stop()
	s.cancelShutdown()
	s.mu.Lock()
	s.server.Close()
	s.mu.Unlock()
	s.shutdowns.Wait()
}

// closed returns a channel that is closed once no connections are accepted.
func (s *callerServer) closed() <-chan struct{} { return s.done }

// sharedListener is the listener of one http.Server. It takes connections from
// the parent's listener until it is closed, and leaves the parent's listener open.
type sharedListener struct {
	parent *callerServer
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection.
func (l *sharedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.parent.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return.
func (l *sharedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the parent's listener.
func (l *sharedListener) Addr() net.Addr { return l.parent.listener.Addr() }
