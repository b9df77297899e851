package link

import (
	"net"
	"net/http"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// ConnLimit bounds the open connections of a server, so that callers that open many and
// leave them idle or send nothing take neither all descriptors nor all memory. When there
// are more than Max, the one that has been unused longest is closed; if all others carry a
// request, the new one is. Exported fields must be set before the server starts.
type ConnLimit struct {
	Max   int
	Clock *clock.Service
	// OnClose, unless nil, is called for each connection that is closed beyond Max. refused
	// is set if it is the new one.
	OnClose func(addr net.Addr, refused bool)

	mu      sync.Mutex
	conns   map[net.Conn]connUse
	sources Sources
}

// connUse is the use of a connection.
type connUse struct {
	state http.ConnState
	since time.Time
	// excess is that of its source, when connections are compared.
	excess int
}

// before reports whether a connection with use u is to be closed before one with use
// other. Those of the source with the largest excess come first, then those that never
// brought a request: many new connections must not displace the idle ones of callers that
// have been served.
func (u connUse) before(other connUse) bool {
	if u.excess != other.excess {
		return u.excess > other.excess
	}
	if u.state != other.state {
		return u.state == http.StateNew
	}
	return u.since.Before(other.since)
}

// Record records a new state of c, and makes room if c is new. A Server calls it for its
// connections; other servers use the states of net/http in the same sense.
func (l *ConnLimit) Record(c net.Conn, state http.ConnState) {
	if victim := l.update(c, state); victim != nil {
		if l.OnClose != nil {
			l.OnClose(victim.RemoteAddr(), victim == c)
		}
		// An error means that it is closed already.
		_ = Reset(victim)
	}
}

// update records a new state of c and returns the connection to be closed, if any.
func (l *ConnLimit) update(c net.Conn, state http.ConnState) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		if l.conns == nil {
			l.conns = map[net.Conn]connUse{}
		}
		l.conns[c] = connUse{state: state, since: l.Clock.Now()}
		l.sources.Add(SourceOf(c))
		if len(l.conns) > l.Max {
			victim := l.longestUnused(c)
			// The server removes it later; until then it must not count.
			l.remove(victim)
			return victim
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	default:
		if _, ok := l.conns[c]; ok {
			l.conns[c] = connUse{state: state, since: l.Clock.Now()}
		}
	}
	return nil
}

// remove ends the count of c; l.mu is held.
func (l *ConnLimit) remove(c net.Conn) {
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.sources.Remove(SourceOf(c))
	}
}

// longestUnused returns the connection to be closed for the new one, which may be the new
// one itself; l.mu is held.
func (l *ConnLimit) longestUnused(added net.Conn) net.Conn {
	victim, use := added, connUse{}
	for c, u := range l.conns {
		u.excess = l.sources.Excess(SourceOf(c), l.Max)
		if c != added && u.state != http.StateActive && (victim == added || u.before(use)) {
			victim, use = c, u
		}
	}
	return victim
}

// ReportClosed returns an OnClose that logs and counts what is closed at a limit of max
// connections. listener names who connects there.
func ReportClosed(log *zap.Logger, registry metrics.Registry, listener string, max int) func(addr net.Addr, refused bool) {
	return func(addr net.Addr, refused bool) {
		message, counter := "connection closed for another one", "Connections.Closed"
		if refused {
			message, counter = "connection refused", "Connections.Refused"
		}
		metrics.GetOrRegisterCounter(counter, registry).Inc(1)
		log.Warn(message, zap.String("Listener", listener), zap.Stringer("Caller", addr), zap.Int("Max", max))
	}
}
