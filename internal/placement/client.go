package placement

import (
	"context"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Times of the client.
const (
	// chooseTimeout bounds a question to the holder.
	chooseTimeout = 150 * time.Millisecond
	// tellDelay collects news for one report, tellTimeout bounds it.
	reportDelay   = 10 * time.Millisecond
	reportTimeout = time.Second
	// lifeInterval is the time between two signs of life to a holder that has
	// requests of this host.
	heartbeatInterval = 500 * time.Millisecond
	// downTime is how long a holder without an answer is passed over.
	skipTime = time.Second
	// maxHolders is the number of holders that are asked for one request.
	maxHolders = 2
)

// Members says who holds a service.
type Members interface {
	Members() *peer.Members
}

// Client asks the holders of services for targets. Exported fields are set
// before Run.
type Client struct {
	Self    string
	Clock   *clock.Service
	Log     *zap.Logger
	Members Members
	Peers   *peer.Caller
	Holder  *Holder

	mu        sync.Mutex
	skipUntil map[string]time.Time
	sessions  map[string]*holderSession
}

// correspondent is a holder that has requests of this host.
type holderSession struct {
	host    peer.Host
	open    int
	updates []News
}

// Lease is a request that a holder knows. The methods of a nil Lease do nothing.
type Lease struct {
	client  *Client
	holder  peer.Host
	id      string
	service string
	once    sync.Once
	Choice  Choice
}

// Choose asks the holder of w.Service for a target. It returns nil if no holder
// answers or none of the targets will do.
func (c *Client) Choose(ctx context.Context, w Work) *Lease {
	w.ID, w.Host = uuid.NewString(), c.Self
	for range maxHolders {
		host := c.holderOf(w.Service)
		choice, err := c.ask(ctx, host, &w)
		if err == nil {
			if choice.Target == "" {
				return nil
			}
			l := &Lease{client: c, holder: host, id: w.ID, service: w.Service, Choice: choice}
			c.addRequest(host)
			return l
		}
		c.Log.Info("holder of a board does not answer", zap.String("Holder", host.Name), zap.String("Service", w.Service),
			zap.String("RequestID", w.RequestID), journal.Error(err))
		if ctx.Err() != nil {
			return nil
		}
		c.skip(host)
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

// holder returns the host that has the board of service.
func (c *Client) holderOf(service string) peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	members := c.Members.Members()
	for name, until := range c.skipUntil {
		if !until.After(now) {
			delete(c.skipUntil, name)
			continue
		}
		members = members.Without(name)
	}
	return members.Strong().Holder(service)
}

func (c *Client) skip(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.skipUntil == nil {
		c.skipUntil = map[string]time.Time{}
	}
	c.skipUntil[host.Name] = c.Clock.Now().Add(skipTime)
}

func (c *Client) addRequest(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions == nil {
		c.sessions = map[string]*holderSession{}
	}
	s := c.sessions[host.Name]
	if s == nil {
		s = &holderSession{host: host}
		c.sessions[host.Name] = s
	}
	s.open++
}

// Begun notes the first event.
func (l *Lease) Begun() {
	if l != nil {
		l.client.queueUpdate(l, Begun)
	}
}

// End notes what became of the request; the first call counts.
func (l *Lease) End(p Progress) {
	if l != nil {
		l.once.Do(func() { l.client.queueUpdate(l, p) })
	}
}

// tell notes news for the holder.
func (c *Client) queueUpdate(l *Lease, x Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[l.holder.Name]
	if s == nil {
		return // the request has ended already
	}
	if x != Begun {
		s.open--
	}
	if len(s.updates) == 0 {
		c.Clock.AfterFunc(reportDelay, func() { c.sendReport(s) })
	}
	s.updates = append(s.updates, News{ID: l.id, Service: l.service, Progress: x})
}

// report sends the news that p waits for.
func (c *Client) sendReport(s *holderSession) {
	c.mu.Lock()
	r := &Report{Host: c.Self, News: s.updates}
	s.updates = nil
	c.mu.Unlock()
	if s.host.Name == c.Self {
		c.Holder.apply(r)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, s.host.Addr, rpcName+".Tell", r, &Empty{}); err != nil {
		c.Log.Info("report to the holder of a board lost", zap.String("Holder", s.host.Name), zap.Int("News", len(r.News)), journal.Error(err))
	}
}

// Run tells the holders that have requests of this host that it is alive, until
// ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticks := c.Clock.Subscribe(ctx, heartbeatInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			for _, s := range c.openSessions() {
				go c.sendReport(s)
			}
		}
	}
}

// open returns the holders that have requests of this host, and forgets others.
func (c *Client) openSessions() []*holderSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*holderSession
	for name, s := range c.sessions {
		switch {
		case s.open > 0:
			out = append(out, s)
		case len(s.updates) == 0:
			delete(c.sessions, name)
		}
	}
	return out
}
