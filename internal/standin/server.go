package standin

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/link"
)

// listenRetryDelay is the time between two attempts to listen again.
const listenRetryDelay = 50 * time.Millisecond

// Server serves a stand-in on a network. While the stand-in is down after a crash,
// the listener is closed, so connections are refused. Exported fields are set
// before Start.
type Server struct {
	Net  link.Network
	Addr netip.AddrPort
	// Handler is the stand-in.
	Handler http.Handler

	mu         sync.Mutex
	httpServer *http.Server
	stopped    bool
}

// crashNotifier is a stand-in that calls a function when it crashes.
type crashNotifier interface {
	setOnCrash(func(down time.Duration))
}

func (t *targetState) setOnCrash(f func(down time.Duration)) { t.OnCrash = f }

// Start listens and serves in the background. With port zero it listens on a free
// port and updates Addr.
func (s *Server) Start() error {
	if n, ok := s.Handler.(crashNotifier); ok {
		n.setOnCrash(s.restart)
	}
	return s.listen()
}

func (s *Server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return net.ErrClosed
	}
	l, err := s.Net.Listen(s.Addr)
	if err != nil {
		return err
	}
	if addr, ok := l.Addr().(*net.TCPAddr); ok {
		s.Addr = addr.AddrPort()
	}
	s.httpServer = &http.Server{Handler: s.Handler}
	go s.httpServer.Serve(l)
	return nil
}

// restart closes the listener and all connections, and listens again after down.
func (s *Server) restart(down time.Duration) {
	s.mu.Lock()
	server := s.httpServer
	s.mu.Unlock()
	server.Close()
	time.AfterFunc(down, s.listenAgain)
}

func (s *Server) listenAgain() {
	if err := s.listen(); err != nil && !errors.Is(err, net.ErrClosed) {
		time.AfterFunc(listenRetryDelay, s.listenAgain)
	}
}

// Stop closes the listener and all connections. The server can't be restarted.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.httpServer != nil {
		s.httpServer.Close()
	}
}
