package gateway

import (
	"net/http"
	"net/netip"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"golang.org/x/sync/errgroup"
)

// listenForProbes opens the listeners for load balancers and for metrics, and serves them in
// goroutines of g.
func (h *Host) listenForProbes(g *errgroup.Group) ([]*link.Server, error) {
	var servers []*link.Server
	for _, s := range []struct {
		name    string
		addr    netip.AddrPort
		handler http.Handler
	}{
		{"Readiness", h.Settings.ReadyAddr, h.readyHandler()},
		{"Metrics", netip.AddrPortFrom(h.Settings.CallerAddr.Addr(), uint16(h.Settings.MetricsPort)), h.metricsHandler()},
	} {
		l, err := h.listenOn(s.addr)
		if err != nil {
			return nil, err
		}
		server := h.newProbeServer(s.name, s.handler, l)
		servers = append(servers, server)
		g.Go(server.Serve)
	}
	return servers, nil
}

// newProbeServer returns a server for requests with small headers and no bodies.
func (h *Host) newProbeServer(name string, handler http.Handler, l *link.RetryListener) *link.Server {
	server := link.NewServer(h.Clock, &http.Server{
		Handler:        refuseBodies(handler),
		ReadTimeout:    settings.ProbeTime,
		WriteTimeout:   settings.ProbeTime,
		IdleTimeout:    defaultIdleTimeout,
		MaxHeaderBytes: settings.ProbeHeaderBytes,
	}, l)
	server.Limit = h.connLimit(name, settings.ProbeConns)
	return server
}

// refuseBodies returns a handler that refuses requests with bodies, of which nothing is
// read.
func refuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			closeAfterResponse(w)
			http.Error(w, "no body is expected", http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// connLimit returns a limit on the connections of a listener.
func (h *Host) connLimit(listener string, max int) *link.ConnLimit {
	return &link.ConnLimit{Max: max, Clock: h.Clock, OnClose: link.ReportClosed(h.Log, h.Metrics, listener, max)}
}
