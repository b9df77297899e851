package stage

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// serviceName is the name of the former among the RPC services of a host.
const serviceName = "Stage"

// Times of the client.
const (
	// pingInterval is the time between two looks at a holder that has jobs of
	// this host, pingTimeout bounds each. A holder is lost after maxMissed looks
	// without an answer: one packet that is lost delays an answer by more.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 350 * time.Millisecond
	maxMissed    = 2
	// downTime is how long a holder that was silent is passed over.
	downTime = 3 * time.Second
	// maxMoves is the number of holders that a job is taken to before this host
	// forms its calls itself.
	maxMoves = 3
	// outlookLife is how long an outlook holds.
	outlookLife = 600 * time.Millisecond
	// tookWeight is the weight of the newest job in the usual time.
	tookWeight = 0.1
	// tellTimeout bounds a message that needs no answer.
	tellTimeout = time.Second
)

// Service is the RPC service of a Former.
type Service struct{ former *Former }

// Empty is an empty argument or reply.
type Empty struct{}

// Run runs a job of another host.
func (s *Service) Run(j *Job, reply *Outcome) error {
	*reply = s.former.submitRemote(*j)
	return nil
}

// Cancel drops a job of another host.
func (s *Service) Cancel(id *string, _ *Empty) error {
	s.former.Cancel(*id)
	return nil
}

// Free drops results.
func (s *Service) Free(results *[]Result, _ *Empty) error {
	s.former.Free(*results)
	return nil
}

// SignOfLife is what a host tells the formers that work for it.
type SignOfLife struct {
	Host string
	// Coming is the number of pieces that earlier stages will send, by service.
	Coming map[string]int
}

// Ping answers with the outlooks of the services.
func (s *Service) Ping(r *SignOfLife, reply *map[string]Outlook) error {
	*reply = s.former.outlooks(*r)
	return nil
}

// Members says who holds a service.
type Members interface {
	Members() *peer.Members
}

// Client runs jobs at the holders of their services. Exported fields are set
// before Run.
type Client struct {
	Clock   *clock.Service
	Log     *zap.Logger
	Self    string
	Members Members
	Peers   *peer.Caller
	Former  *Former

	mu       sync.Mutex
	holders  map[string]*holder
	outlooks map[string]seenOutlook
	// coming are the pieces of this host's requests that earlier stages will send.
	coming map[string]int
	// told is what of coming the formers were told last.
	told map[string]int
	// took is the usual time of a job of each service that was on time.
	took map[string]time.Duration
}

// seenOutlook is an outlook and the time at which it was learned.
type seenOutlook struct {
	Outlook
	at time.Time
}

// holder is a host that has jobs of this one.
type holder struct {
	host peer.Host
	jobs int
	// lost is closed when the holder is found silent.
	lost      chan struct{}
	downUntil time.Time
	// missed counts the looks without an answer in a row.
	missed int
}

// Run runs j and waits for the outcome. A holder that falls silent is passed
// over, and j runs at the next one; the last resort is this host.
func (c *Client) Run(ctx context.Context, j Job) (Outcome, error) {
	start := c.Clock.Now()
	due, left := j.Due, j.Left
	sent := false
	for moves := 0; ; moves++ {
		host := c.holderOf(j.Service)
		if moves >= maxMoves {
			host = peer.Host{Name: c.Self}
		}
		passed := c.Clock.Since(start)
		j.ID, j.Due, j.Left = uuid.NewString(), due-passed, left-passed
		var o Outcome
		var err error
		if host.Name == c.Self {
			o = c.Former.Submit(ctx, j)
		} else {
			o, err = c.runAt(ctx, host, j)
		}
		if err == nil && o.Fault == Moved {
			c.passOver(host)
			continue
		}
		if err == nil {
			o.Sent = o.Sent || sent
			c.learn(j, o)
			return o, nil
		}
		sent = true
		if ctx.Err() != nil {
			return Outcome{Fault: Cancelled, Sent: true}, context.Cause(ctx)
		}
		c.Log.Warn("holder of a service lost", zap.String("Service", j.Service), zap.String("Holder", host.Name),
			zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), journal.Error(err))
		c.lose(host)
	}
}

// learn takes the time of a job into account. Jobs that were late waited behind
// those that were not, and say nothing of them.
func (c *Client) learn(j Job, o Outcome) {
	c.see(map[string]Outlook{j.Service: o.Outlook})
	took := o.Queued + o.Ran
	if o.Fault != None || took > j.Due {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.took == nil {
		c.took = map[string]time.Duration{}
	}
	old, ok := c.took[j.Service]
	if !ok {
		old = took
	}
	c.took[j.Service] = old + time.Duration(tookWeight*float64(took-old))
}

// Usual returns the usual time of a job of service from its sending to its
// results, or zero if none is known.
func (c *Client) Usual(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.took[service]
}

// see keeps outlooks.
func (c *Client) see(outlooks map[string]Outlook) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outlooks == nil {
		c.outlooks = map[string]seenOutlook{}
	}
	for service, o := range outlooks {
		c.outlooks[service] = seenOutlook{o, now}
	}
}

// Outlook returns the last outlook of service with what is on its way there: all
// hosts' pieces as they last told, and this host's as they are. An outlook that
// is too old says nothing, since a host without jobs at the former hears of none.
func (c *Client) Outlook(service string) Outlook {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.outlooks[service]
	if c.Clock.Since(seen.at) > outlookLife {
		return Outlook{}
	}
	o := seen.Outlook
	o.Coming = max(0, o.Coming-c.told[service]+c.coming[service])
	coming := time.Duration(o.Coming) * o.PerPiece
	o.Ahead += coming
	o.All += coming
	return o
}

// Expect notes that pieces for service will come from earlier stages, or, with a
// negative number, that they have come or won't.
func (c *Client) Expect(service string, pieces int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coming == nil {
		c.coming = map[string]int{}
	}
	c.coming[service] += pieces
}

// holderOf returns the host that forms the calls of service.
func (c *Client) holderOf(service string) peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pickHolder(service, now)
}

// pickHolder is holderOf with c.mu held.
func (c *Client) pickHolder(service string, now time.Time) peer.Host {
	members := c.Members.Members()
	for name, h := range c.holders {
		if h.downUntil.After(now) {
			members = members.Without(name)
		}
	}
	return members.Strong().Holder(service)
}

// runAt runs j at host until it answers, falls silent or ctx ends.
func (c *Client) runAt(ctx context.Context, host peer.Host, j Job) (Outcome, error) {
	lost := c.enter(host)
	defer c.leave(host)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-callCtx.Done():
		}
	}()
	o := &Outcome{}
	err := c.Peers.Call(callCtx, host.Addr, serviceName+".Run", &j, o)
	if err == nil {
		return *o, nil
	}
	if ctx.Err() != nil {
		go c.tell(host, "Cancel", &j.ID)
	}
	return Outcome{}, err
}

// enter notes a job at host and returns the channel that tells of its loss.
func (c *Client) enter(host peer.Host) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	h.jobs++
	return h.lost
}

// holder returns what is kept of host; c.mu is held.
func (c *Client) holder(host peer.Host) *holder {
	if c.holders == nil {
		c.holders = map[string]*holder{}
	}
	h := c.holders[host.Name]
	if h == nil {
		h = &holder{lost: make(chan struct{})}
		c.holders[host.Name] = h
	}
	h.host = host
	return h
}

func (c *Client) leave(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders[host.Name].jobs--
}

// passOver keeps new jobs from host for a while.
func (c *Client) passOver(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder(host).downUntil = c.Clock.Now().Add(downTime)
}

// lose passes host over for a while and wakes its jobs.
func (c *Client) lose(host peer.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	if h.downUntil.After(c.Clock.Now()) {
		return
	}
	h.downUntil = c.Clock.Now().Add(downTime)
	h.missed = 0
	close(h.lost)
	h.lost = make(chan struct{})
	c.Peers.Forget(host.Addr)
}

// Watch looks at the holders that have jobs of this host until ctx ends.
func (c *Client) Watch(ctx context.Context) error {
	ticks := c.Clock.Subscribe(ctx, pingInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			for _, host := range c.busy() {
				go c.look(ctx, host)
			}
		}
	}
}

// busy returns the holders that have jobs of this host or will have them.
func (c *Client) busy() []peer.Host {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := map[string]peer.Host{}
	for _, h := range c.holders {
		if h.jobs > 0 && !h.downUntil.After(now) {
			hosts[h.host.Name] = h.host
		}
	}
	c.told = maps.Clone(c.coming)
	for service := range c.coming {
		h := c.pickHolder(service, now)
		hosts[h.Name] = h
	}
	return slices.Collect(maps.Values(hosts))
}

// look asks host for a sign of life.
func (c *Client) look(ctx context.Context, host peer.Host) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	c.mu.Lock()
	sign := SignOfLife{Host: c.Self, Coming: maps.Clone(c.told)}
	c.mu.Unlock()
	if host.Name == c.Self {
		c.see(c.Former.outlooks(sign))
		return
	}
	outlooks := map[string]Outlook{}
	err := c.Peers.Call(ctx, host.Addr, serviceName+".Ping", &sign, &outlooks)
	if c.missed(host, err) {
		c.Log.Warn("holder is silent", zap.String("Holder", host.Name), journal.Error(err))
		c.lose(host)
	}
	if err == nil {
		c.see(outlooks)
	}
}

// missed notes the outcome of a look at host and reports whether it is lost. A
// connection that breaks tells at once.
func (c *Client) missed(host peer.Host, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holder(host)
	if err == nil {
		h.missed = 0
		return false
	}
	h.missed++
	return h.missed >= maxMissed || !errors.Is(err, context.DeadlineExceeded)
}

// Free drops results by way of the former that counts their room, or, where
// that is gone, of the one that forms the calls of their service now.
func (c *Client) Free(results []Result) {
	members := c.Members.Members()
	byHost := map[peer.Host][]Result{}
	for _, r := range results {
		host, ok := members.Find(r.Former)
		if !ok {
			host = c.holderOf(r.Service)
		}
		byHost[host] = append(byHost[host], r)
	}
	for host, results := range byHost {
		if host.Name == c.Self {
			c.Former.Free(results)
			continue
		}
		go c.tell(host, "Free", &results)
	}
}

func (c *Client) tell(host peer.Host, method string, args any) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, host.Addr, serviceName+"."+method, args, &Empty{}); err != nil {
		c.Log.Info("message to a holder lost", zap.String("Holder", host.Name), zap.String("Method", method), journal.Error(err))
	}
}
