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

// Limits on callers until a configuration names others.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// replacedTime bounds the wait for the requests of a server whose limits have
	// been replaced.
	replacedServerTimeout = 30 * time.Second
)

// front serves callers. The limits of a server are fixed while it runs, so that
// new limits take a new server; the old one ends with its connections.
type callerServer struct {
	host     *Host
	listener net.Listener
	done     chan struct{}

	mu      sync.Mutex
	limits  catalog.Limits
	server  *http.Server
	conns   chan net.Conn
	stopped bool

	// forced ends the wait for connections to become idle.
	shutdownCtx    context.Context
	cancelShutdown context.CancelFunc
	shutdowns      sync.WaitGroup
}

// open starts to serve l.
func (f *callerServer) start(h *Host, l net.Listener) {
	f.host, f.listener = h, l
	f.done = make(chan struct{})
	f.shutdownCtx, f.cancelShutdown = context.WithCancel(context.Background())
	f.conns = make(chan net.Conn)
	f.mu.Lock()
	f.startServer()
	f.mu.Unlock()
	go f.accept()
}

// accept hands connections to the server in use.
func (f *callerServer) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			f.host.Log.Info("no longer listening for callers", journal.Error(err))
			return
		}
		select {
		case f.conns <- conn:
		case <-f.done:
			conn.Close()
			return
		}
	}
}

// serve starts a server with the present limits; f.mu is held.
func (f *callerServer) startServer() {
	server := &http.Server{
		Handler:           f.host,
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ErrorLog:          zap.NewStdLog(f.host.Log),
	}
	if f.limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = f.limits.HeaderBytes
	}
	if f.limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = f.limits.HeaderTimeout
	}
	if f.limits.IdleTimeout > 0 {
		server.IdleTimeout = f.limits.IdleTimeout
	}
	f.server = server
	l := &sharedListener{parent: f, closed: make(chan struct{})}
	go func() {
		if err := link.IgnoreClosed(server.Serve(l)); err != nil {
			f.host.Log.Error("serving callers", journal.Error(err))
		}
	}()
}

// limit puts new limits in force for new connections.
func (f *callerServer) setLimits(limits catalog.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limits == f.limits || f.stopped {
		return
	}
	f.limits = limits
	old := f.server
	f.startServer()
	f.shutdowns.Go(func() {
		ctx, cancel := context.WithTimeout(f.shutdownCtx, replacedServerTimeout)
		defer cancel()
		if err := old.Shutdown(ctx); err != nil {
			f.host.Log.Warn("connections under old limits are left", journal.Error(err))
		}
	})
}

// stop takes no new connections and closes idle ones.
func (f *callerServer) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.stopped = true
	f.listener.Close()
	close(f.done)
	f.shutdowns.Go(func() {
		if err := f.server.Shutdown(f.shutdownCtx); err != nil {
			f.host.Log.Info("connections are left at the end", journal.Error(err))
		}
	})
}

// close ends every connection.
func (f *callerServer) close() {
	f.stop()
	f.cancelShutdown()
	f.mu.Lock()
	f.server.Close()
	f.mu.Unlock()
	f.shutdowns.Wait()
}

// closed returns a channel that is closed once no connections are taken.
func (f *callerServer) closed() <-chan struct{} { return f.done }

// handedOver is the listener of one server: it takes connections from the
// front's own listener until it is closed, and leaves that open.
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

// Addr returns the address of the front's listener.
func (l *sharedListener) Addr() net.Addr { return l.parent.listener.Addr() }
