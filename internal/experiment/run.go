package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"go.uber.org/zap"
)

// Delays of the links, one way, and the wait before the first arrival.
const (
	crossDomainDelay = 500 * time.Microsecond // between failure domains
	sameDomainDelay  = 100 * time.Microsecond // within a failure domain
	clientDelay      = time.Millisecond
	configWait       = 3 * time.Second // lets the configuration reach the hosts
)

// Run is the run of a load against a site under one policy. Do must be called
// in a testing/synctest bubble, with the exported fields set.
type Run struct {
	Site   *Site
	Load   *Load
	Policy string
	// Trace, unless nil, is called every TracePeriod while requests arrive.
	Trace       func(at time.Duration)
	TracePeriod time.Duration

	net     *link.Memory
	hosts   []*runHost
	workers map[string]*standin.Worker
	clients []*http.Client
	errs    chan error
	wg      sync.WaitGroup
}

// runHost is a host with the handles to inject faults into it.
type runHost struct {
	host   *host.Host
	clock  *clock.Service
	addr   netip.Addr
	cancel context.CancelFunc
	killed bool
}

// Do sends the requests and returns a sample for each.
func (r *Run) Do(ctx context.Context, requests []Request) ([]Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.net = &link.Memory{Delay: crossDomainDelay}
	r.errs = make(chan error, len(r.Site.Hosts)+len(r.Site.Targets)+1)
	r.setDelays()
	if err := r.startTargets(ctx); err != nil {
		return nil, err
	}
	if err := r.publishDeclaration(ctx); err != nil {
		return nil, err
	}
	r.startHosts(ctx)
	r.startClients()
	time.Sleep(configWait)
	samples := r.replay(ctx, requests)
	r.stop(cancel)
	select {
	case err := <-r.errs:
		return nil, err
	default:
		return samples, nil
	}
}

func (r *Run) setDelays() {
	s := r.Site
	domain := map[netip.Addr]int{}
	for i, h := range s.Hosts {
		domain[s.hostAddr(i)] = h.Domain
	}
	for i, t := range s.Targets {
		domain[s.targetAddr(i)] = t.Domain
	}
	for a, da := range domain {
		for b, db := range domain {
			if da == db {
				r.net.SetDelay(a, b, sameDomainDelay)
			}
		}
	}
	for d := range s.Domains {
		for i := range s.Hosts {
			r.net.SetDelay(s.clientAddr(d), s.hostAddr(i), clientDelay)
			r.net.SetDelay(s.hostAddr(i), s.clientAddr(d), clientDelay)
		}
	}
}

func (r *Run) serve(ctx context.Context, addr netip.AddrPort, h http.Handler) error {
	l, err := r.net.Process(addr.Addr()).Listen(addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	context.AfterFunc(ctx, func() { s.Close() })
	return nil
}

func (r *Run) startTargets(ctx context.Context) error {
	r.workers = map[string]*standin.Worker{}
	for i, t := range r.Site.Targets {
		w := &standin.Worker{Name: t.Name, Speed: t.Speed, Slots: t.Slots}
		r.workers[t.Name] = w
		if err := r.serve(ctx, netip.AddrPortFrom(r.Site.targetAddr(i), callerPort), w); err != nil {
			return err
		}
	}
	return r.serve(ctx, logAddr, &standin.Log{})
}

// publishDeclaration appends the site's declaration to the log.
func (r *Run) publishDeclaration(ctx context.Context) error {
	text, err := json.Marshal(r.Site.section())
	if err != nil {
		return err
	}
	data, err := json.Marshal(declaration.Change{Section: r.Site.Name, Text: text})
	if err != nil {
		return err
	}
	operator := platform.NewClient(r.net.Process(netip.MustParseAddr("10.0.3.2")), logAddr, logAddr)
	_, err = operator.Append(ctx, platform.ConfigStream, []platform.Entry{{ID: "1", Kind: section.ChangeKind, Data: data}})
	return err
}

func (r *Run) startHosts(ctx context.Context) {
	for i := range r.Site.Hosts {
		h := r.newHost(i)
		hostCtx, cancel := context.WithCancel(ctx)
		h.cancel = cancel
		r.hosts = append(r.hosts, h)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			if err := h.host.Run(hostCtx); err != nil && !h.killed {
				r.errs <- fmt.Errorf("host %s: %w", h.host.Settings.Name, err)
			}
		}()
	}
}

func (r *Run) newHost(i int) *runHost {
	site := &r.Site.Hosts[i]
	addr := r.Site.hostAddr(i)
	s := &settings.Settings{
		Name: site.Name, Domain: fmt.Sprintf("domain-%d", site.Domain+1), LogAddr: logAddr, Policy: r.Policy,
		CallerAddr: netip.AddrPortFrom(addr, callerPort), PeerAddr: netip.AddrPortFrom(addr, peerPort),
	}
	for j := range r.Site.Hosts {
		if j != i {
			s.Peers = append(s.Peers, settings.Peer{Name: r.Site.Hosts[j].Name, Addr: netip.AddrPortFrom(r.Site.hostAddr(j), peerPort)})
		}
	}
	s.SetDefaults()
	c := &clock.Service{}
	h, err := host.New(s, r.net.Process(addr), c, zap.NewNop())
	if err != nil {
		panic(err) // the settings are valid unless r.Policy is unknown
	}
	return &runHost{host: h, clock: c, addr: addr}
}

func (r *Run) startClients() {
	for d := range r.Site.Domains {
		t := link.Transport(r.net.Process(r.Site.clientAddr(d)))
		r.clients = append(r.clients, &http.Client{Transport: t})
	}
}

// replay sends each request at its time and waits for all answers.
func (r *Run) replay(ctx context.Context, requests []Request) []Sample {
	samples := make([]Sample, len(requests))
	start := time.Now()
	var wg sync.WaitGroup
	for _, d := range r.Load.Slowdowns {
		r.schedule(start, d.From, func() { r.workers[d.Target].SetSlowdown(d.Factor) })
		r.schedule(start, d.To, func() { r.workers[d.Target].SetSlowdown(1) })
	}
	for _, e := range r.Load.Events {
		r.schedule(start, e.At, func() { r.applyEvent(e) })
	}
	if r.Trace != nil {
		for at := r.TracePeriod; at < r.Load.End; at += r.TracePeriod {
			r.schedule(start, at, func() { r.Trace(at) })
		}
	}
	for i := range requests {
		time.Sleep(time.Until(start.Add(requests[i].At)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			samples[i] = r.sendRequest(ctx, &requests[i], r.clients[i%len(r.clients)])
		}()
	}
	wg.Wait()
	return samples
}

// schedule calls f at d after start.
func (r *Run) schedule(start time.Time, d time.Duration, f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		time.Sleep(time.Until(start.Add(d)))
		f()
	}()
}

// applyEvent begins or ends the fault that e describes.
func (r *Run) applyEvent(e Event) {
	if e.Kind == PartitionHosts || e.Kind == HealPartition {
		r.setPartition(e.Kind == PartitionHosts)
		return
	}
	h := r.eventHost(e)
	switch e.Kind {
	case KillHost:
		h.killed = true
		h.cancel()
		r.net.Kill(h.addr)
	case FreezeHost:
		h.clock.Suspend()
	case ThawHost:
		h.clock.Resume()
	case CutHost, HealHost:
		for _, o := range r.hosts {
			if o != h {
				r.setCut(h, o, e.Kind == CutHost)
			}
		}
	default:
		panic("experiment: unexpected event " + string(e.Kind))
	}
}

// setPartition cuts or heals the links between every second host and the others.
func (r *Run) setPartition(cut bool) {
	for i, h := range r.hosts {
		for j, o := range r.hosts {
			if i%2 == 0 && j%2 == 1 {
				r.setCut(h, o, cut)
			}
		}
	}
}

// setCut cuts or heals both directions between two hosts.
func (r *Run) setCut(a, b *runHost, cut bool) {
	set := r.net.Heal
	if cut {
		set = r.net.Cut
	}
	set(a.addr, b.addr)
	set(b.addr, a.addr)
}

// eventHost returns the host that e concerns.
func (r *Run) eventHost(e Event) *runHost {
	name := e.Host
	if e.Pool != "" {
		name = r.holder(e.Pool)
	}
	for _, h := range r.hosts {
		if h.host.Settings.Name == name {
			return h
		}
	}
	panic("experiment: no host " + name)
}

// holder returns the name of the host that holds the first shard of pool while
// all hosts are alive.
func (r *Run) holder(pool string) string {
	var hosts []peer.Host
	for _, h := range r.Site.Hosts {
		hosts = append(hosts, peer.Host{Name: h.Name})
	}
	return peer.NewMembers(hosts).Holder("Queue/" + pool + "/0").Name
}

// sendRequest sends one request and retries it at the next host until it
// succeeds or the retries of the load are used up.
func (r *Run) sendRequest(ctx context.Context, q *Request, c *http.Client) Sample {
	p := &r.Site.Pipelines[q.Pipeline]
	start := time.Now()
	m := Sample{Request: q}
	hostIndex := q.Host
	for r.hosts[hostIndex].killed {
		hostIndex = (hostIndex + 1) % len(r.hosts) // the load balancer skips killed hosts
	}
	for retries := 0; ; retries++ {
		a, err := r.post(ctx, q, c, hostIndex)
		m.Took = time.Since(start)
		m.OK = err == nil && a.Code == result.OK
		m.Refused = err == nil && a.Ran == result.RanNo
		m.OnTime = m.OK && m.Took <= p.Deadline
		if a != nil {
			m.Stages, m.Message = a.Stages, a.Name+": "+a.Message
		}
		if m.OK || retries >= r.Load.MaxRetries || ctx.Err() != nil {
			return m
		}
		time.Sleep(retryDelay)
		hostIndex = (hostIndex + 1) % len(r.hosts)
	}
}

// retryDelay is how long a caller waits before it retries a request.
const retryDelay = 200 * time.Millisecond

func (r *Run) post(ctx context.Context, q *Request, c *http.Client, hostIndex int) (*caller.Answer, error) {
	s := r.Site
	p := &s.Pipelines[q.Pipeline]
	ctx, cancel := context.WithTimeout(ctx, p.Deadline+time.Second)
	defer cancel()
	work := contract.Work{Text: strings.Repeat("x", q.Bytes), StageService: map[string]time.Duration{}}
	for i, g := range p.Stages {
		work.StageService[g.Name] = q.Service[i]
	}
	body, err := json.Marshal(work)
	if err != nil {
		return nil, err
	}
	url := fmt.Sprintf("http://%s:%d/v1/workspaces/%s/pipelines/%s", s.hostAddr(hostIndex), callerPort, s.Workspaces[q.Workspace].Name, p.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a := &caller.Answer{}
	return a, json.NewDecoder(resp.Body).Decode(a)
}

// stop stops the hosts and waits for them.
func (r *Run) stop(cancel context.CancelFunc) {
	for _, h := range r.hosts {
		h.clock.Resume()
		h.cancel()
	}
	for _, c := range r.clients {
		c.CloseIdleConnections()
	}
	r.wg.Wait()
	cancel()
	for _, h := range r.hosts {
		r.net.Kill(h.addr) // closes the connections, as the end of a process would
	}
}
