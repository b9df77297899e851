package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Times of the client.
const (
	// chooseTimeout bounds a call that asks a holder for a target.
	chooseTimeout = 150 * time.Millisecond
	// reportDelay is the time over which updates are collected for one report;
	// reportTimeout bounds the call that sends it.
	reportDelay   = 10 * time.Millisecond
	reportTimeout = time.Second
	// heartbeatInterval is the time between two heartbeats to a holder that has
	// requests of this host.
	heartbeatInterval = 500 * time.Millisecond
	// skipTime is how long a holder is skipped after it gave no answer.
	skipTime = time.Second
	// maxHolders bounds the holders that are asked for one request.
	maxHolders = 2
)

// Client asks the holders of services for targets and reports the progress of
// requests to them. Exported fields are set before Run.
type Client struct {
	Self  string
	Clock *clock.Service
	Log   *zap.Logger
	// Holders picks the holder of a service.
	Holders *peer.Picker
	Peers   *peer.Caller
	Holder  *Holder

	mu       sync.Mutex
	sessions map[string]*holderSession
}

// holderSession is a holder that has requests of this host, with these requests and
// the updates to report.
type holderSession struct {
	host    peer.Host
	leases  map[string]*Lease
	updates []News
	// answeredAt is the time of the last answer of the holder.
	answeredAt time.Time
}

// Lease is a request that a holder counts at a target. The methods of a nil Lease
// do nothing.
type Lease struct {
	client   *Client
	id       string
	service  string
	work     Work
	chosenAt time.Time
	Choice   Choice
	// holder counts the request, begun is set once the first event has arrived, and
	// moved is set while holder may not know the request. They are guarded by the client's
	// mu.
	holder       peer.Host
	begun, moved bool
	// events is the number of events seen.
	events atomic.Int64
}

// Choose asks the holder of w.Service for a target. It returns nil if no holder
// answers or no target is suitable.
func (c *Client) Choose(ctx context.Context, w Work) *Lease {
	w.ID, w.Host = uuid.NewString(), c.Self
	for range maxHolders {
		host := c.Holders.Holder(w.Service)
		choice, err := c.ask(ctx, host, &w)
		if err == nil {
			if choice.Target == "" {
				return nil
			}
			l := &Lease{client: c, holder: host, id: w.ID, service: w.Service, work: w, chosenAt: c.Clock.Now(), Choice: choice}
			c.addLease(l)
			return l
		}
		c.Log.Info("placement holder did not answer", zap.String("Holder", host.Name), zap.String("Service", w.Service),
			zap.String("RequestID", w.RequestID), journal.Error(err))
		if ctx.Err() != nil {
			return nil
		}
		c.Holders.Skip(host, skipTime)
	}
	return nil
}

func (c *Client) ask(ctx context.Context, host peer.Host, w *Work) (Choice, error) {
	if host.Name == c.Self {
		return c.Holder.choose(w), nil
	}
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()
	choice := &Choice{}
	if err := c.Peers.Call(ctx, host.Addr, rpcName+".Choose", w, choice); err != nil {
		return Choice{}, err
	}
	return *choice, nil
}

func (c *Client) addLease(l *Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions == nil {
		c.sessions = map[string]*holderSession{}
	}
	s := c.sessions[l.holder.Name]
	if s == nil {
		s = &holderSession{host: l.holder, leases: map[string]*Lease{}}
		c.sessions[l.holder.Name] = s
	}
	s.markDropped(c.Clock.Now())
	s.answeredAt = c.Clock.Now()
	if c.moveLeases(s, l.service) {
		c.Clock.AfterFunc(reportDelay, func() { c.sendReport(s, true) })
	}
	s.leases[l.id] = l
}

// moveLeases moves the requests of a service that other holders have chosen for to s, whose
// holder has answered, so that it counts them. It reports whether there were any. The
// client's mu is held. Holders that don't choose by WorkPolicy have no use for them.
func (c *Client) moveLeases(s *holderSession, service string) (moved bool) {
	for _, other := range c.sessions {
		if other == s {
			continue
		}
		for id, l := range other.leases {
			if l.service == service && l.Choice.Slowness > 0 {
				delete(other.leases, id)
				s.leases[id] = l
				l.holder, l.moved, moved = s.host, true, true
			}
		}
	}
	return moved
}

// markDropped marks all requests of s as unknown to its holder if that has not answered for
// so long that it may have dropped the requests of this host, which was perhaps frozen. The
// client's mu is held.
func (s *holderSession) markDropped(now time.Time) {
	if now.Sub(s.answeredAt) < hostTimeout {
		return
	}
	for _, l := range s.leases {
		l.moved = l.Choice.Slowness > 0
	}
}

// movedRequests returns the requests that the holder of s may not know. The client's mu is
// held.
func (c *Client) movedRequests(s *holderSession) []MovedRequest {
	now := c.Clock.Now()
	s.markDropped(now)
	var out []MovedRequest
	for _, l := range s.leases {
		if l.moved {
			out = append(out, MovedRequest{l.work, l.Choice, now.Sub(l.chosenAt)})
		}
	}
	return out
}

// answered records that the holder of s has received a report with moved requests.
func (c *Client) answered(s *holderSession, moved []MovedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.markDropped(c.Clock.Now())
	s.answeredAt = c.Clock.Now()
	for _, m := range moved {
		if l := s.leases[m.Work.ID]; l != nil {
			l.moved = false
		}
	}
}

// Begun reports the first event.
func (l *Lease) Begun() {
	if l != nil {
		l.client.queueUpdate(l, Begun)
	}
}

// Event counts an event. The next report contains the number.
func (l *Lease) Event() {
	if l != nil {
		l.events.Add(1)
	}
}

// Events returns the number of events counted.
func (l *Lease) Events() int {
	if l == nil {
		return 0
	}
	return int(l.events.Load())
}

// End reports the end of the request. Only the first call counts.
func (l *Lease) End(p Progress) {
	if l != nil {
		l.client.queueUpdate(l, p)
	}
}

// queueUpdate queues an update for the next report to the holder of l, unless l has
// ended.
func (c *Client) queueUpdate(l *Lease, x Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[l.holder.Name]
	if s == nil || s.leases[l.id] == nil {
		return
	}
	if x == Begun {
		l.begun = true
	} else {
		delete(s.leases, l.id)
	}
	if len(s.updates) == 0 {
		c.Clock.AfterFunc(reportDelay, func() { c.sendReport(s, false) })
	}
	s.updates = append(s.updates, News{ID: l.id, Service: l.service, Progress: x, Events: l.Events()})
}

// open returns the requests of s that have not ended; the client's mu is held.
func (s *holderSession) open() *OpenRequests {
	o := &OpenRequests{}
	for id, l := range s.leases {
		if l.begun {
			o.Begun, o.Events = append(o.Begun, id), append(o.Events, l.Events())
		} else {
			o.Waiting = append(o.Waiting, id)
		}
	}
	return o
}

// sendReport sends the queued updates of s, and with list also the list of its open
// requests. Without a reply in time it closes the connection to the holder, which
// may have gone silent for good; what is lost then, the next list corrects.
func (c *Client) sendReport(s *holderSession, list bool) {
	c.mu.Lock()
	r := &Report{Host: c.Self, News: s.updates}
	s.updates = nil
	if list {
		r.Open = s.open()
		r.Moved = c.movedRequests(s)
	}
	c.mu.Unlock()
	if s.host.Name == c.Self {
		c.Holder.apply(r)
		c.answered(s, r.Moved)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := c.Peers.CallOrDisconnect(ctx, s.host.Addr, rpcName+".Tell", r, &Empty{}); err != nil {
		c.Log.Info("failed to report to placement holder", zap.String("Holder", s.host.Name), zap.Int("News", len(r.News)), journal.Error(err))
		return
	}
	c.answered(s, r.Moved)
}

// Run sends heartbeats to the holders that have requests of this host until ctx
// ends.
func (c *Client) Run(ctx context.Context) error {
	ticks := c.Clock.Subscribe(ctx, heartbeatInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			for _, s := range c.openSessions() {
				go c.sendReport(s, true)
			}
		}
	}
}

// openSessions returns the holders that have requests of this host. It removes
// those without requests and updates.
func (c *Client) openSessions() []*holderSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*holderSession
	for name, s := range c.sessions {
		switch {
		case len(s.leases) > 0:
			out = append(out, s)
		case len(s.updates) == 0:
			delete(c.sessions, name)
		}
	}
	return out
}
