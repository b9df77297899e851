package peer

import (
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Server serves the RPC services of a host to its peers. Exported fields are
// set before Serve is called.
type Server struct {
	RPC *rpc.Server
	// Limit, unless nil, bounds the open connections.
	Limit *link.ConnLimit
	// Memory, unless nil, bounds the memory of large messages that are being received.
	Memory *memory.Budget
	// OnRefuse, unless nil, is called when a connection ends because of a message that is
	// too large, has no memory or is late.
	OnRefuse func(peer net.Addr, err error)

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool

	running atomic.Int64
}

// Serve accepts connections from l until l is closed or, after Close, until the
// next connection. It closes l when it returns.
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.trackConn(conn) {
			conn.Close()
			return nil
		}
		s.record(conn, http.StateNew)
		go s.serve(conn)
	}
}

func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	s.conns[conn] = true
	return true
}

// record tells the limit on connections of the state of conn.
func (s *Server) record(conn net.Conn, state http.ConnState) {
	if s.Limit != nil {
		s.Limit.Record(conn, state)
	}
}

func (s *Server) serve(conn net.Conn) {
	s.RPC.ServeCodec(newCodec(conn, s))
	s.record(conn, http.StateClosed)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// RunningCalls returns the number of calls that are being served.
func (s *Server) RunningCalls() int { return int(s.running.Load()) }

// Close closes every connection. The caller of Serve closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}

// ReportRefused returns an OnRefuse that logs and counts.
func ReportRefused(log *zap.Logger, registry metrics.Registry) func(peer net.Addr, err error) {
	return func(peer net.Addr, err error) {
		metrics.GetOrRegisterCounter("Peers.MessagesRefused", registry).Inc(1)
		log.Warn("message of a peer refused", zap.Stringer("Peer", peer), zap.Error(err))
	}
}
