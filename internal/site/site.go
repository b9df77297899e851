// Package site runs a whole system in one process on loopback: stand-ins for
// the platform and the targets, and hosts in front of them. The try
// command, the load generator and benchmarks use it; hosts and stand-ins are the
// same as in processes of their own. A Site is the system, and
// a Pool lists the stand-ins that serve as its targets.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// Loopback is the loopback address with port zero, which selects a free port.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

// domains are the failure domains that hosts and targets are spread over.
var domains = [...]string{"d1", "d2", "d3"}

// Pool is a pool of targets of one kind. Exported fields are set before Start.
type Pool struct {
	declaration.Pool
	// Model is the model that the pool's targets serve, if they are engines.
	Model string
	// Targets are *standin.Worker, *standin.Service or *standin.Engine.
	Targets []http.Handler
}

// Site is the system. Exported fields are set before Start.
type Site struct {
	Hosts      int
	Pools      []Pool
	Pipelines  []declaration.Pipeline
	Workspaces []declaration.Workspace
	Logger     *zap.Logger

	Log      *standin.Log
	HostList *standin.HostList
	// Callers are the addresses for callers, one per host; Start sets them.
	Callers []netip.AddrPort
	// Targets are the targets as declared; Start sets them.
	Targets []declaration.Target

	servers      []*standin.Server
	cancel       context.CancelFunc
	hostErrs     chan error
	runningHosts int
}

// Start starts the stand-ins and the hosts and returns once every host is ready.
func (s *Site) Start(ctx context.Context) error {
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	logAddr, err := s.serveStandin(s.Log)
	if err != nil {
		return err
	}
	listAddr, err := s.serveStandin(s.HostList)
	if err != nil {
		return err
	}
	if err := s.startTargets(); err != nil {
		return err
	}
	if err := s.publish(ctx, logAddr); err != nil {
		return err
	}
	if err := s.startHosts(ctx, logAddr, listAddr); err != nil {
		return err
	}
	return s.waitReady(ctx)
}

// serveStandin serves a stand-in on a free port and returns its address.
func (s *Site) serveStandin(h http.Handler) (netip.AddrPort, error) {
	server := &standin.Server{Net: link.TCP{}, Addr: Loopback, Handler: h}
	if err := server.Start(); err != nil {
		return netip.AddrPort{}, err
	}
	s.servers = append(s.servers, server)
	return server.Addr, nil
}

// startTargets serves the targets and enters them in the host list.
func (s *Site) startTargets() error {
	var entries []platform.HostEntry
	for i := range s.Pools {
		p := &s.Pools[i]
		for n, h := range p.Targets {
			t, err := s.startTarget(p, n, h)
			if err != nil {
				return err
			}
			s.Targets = append(s.Targets, t)
			entries = append(entries, platform.HostEntry{Name: t.Name, Addr: t.Addr, Incarnation: "1", State: platform.Live})
		}
	}
	s.HostList.Set(entries)
	return nil
}

// startTarget serves target n of p and returns its declaration.
func (s *Site) startTarget(p *Pool, n int, h http.Handler) (declaration.Target, error) {
	addr, err := s.serveStandin(h)
	t := declaration.Target{
		Name:   fmt.Sprintf("%s-%d", p.Name, n+1),
		Pool:   p.Name,
		Addr:   addr,
		Domain: domains[n%len(domains)],
	}
	switch v := h.(type) {
	case *standin.Worker:
		v.Name, t.Slots = t.Name, v.Slots
	case *standin.Service:
		v.Name, t.Slots, t.AskByKey = t.Name, v.Slots, !v.NoAsk
	case *standin.Engine:
		v.Name, t.Slots, t.ChecksFencing = t.Name, v.Slots, v.ChecksFencing
		t.Models = v.Models
	default:
		panic(fmt.Sprintf("site: unexpected target %T", h))
	}
	return t, err
}

// publish appends the configuration to the log.
func (s *Site) publish(ctx context.Context, logAddr netip.AddrPort) error {
	sec := declaration.Section{Pipelines: s.Pipelines, Workspaces: s.Workspaces, Targets: s.Targets}
	for _, p := range s.Pools {
		sec.Pools = append(sec.Pools, p.Pool)
	}
	text, err := json.Marshal(&sec)
	if err != nil {
		return err
	}
	data, err := json.Marshal(declaration.Change{RuleVersion: declaration.FirstRule, Section: "Site", Author: "site", Text: text})
	if err != nil {
		return err
	}
	client := platform.NewClient(link.TCP{}, logAddr, logAddr)
	_, err = client.Append(ctx, platform.ConfigStream, []platform.Entry{{ID: uuid.NewString(), Kind: section.ChangeKind, Data: data}})
	return err
}

// startHosts starts the hosts on reserved ports.
func (s *Site) startHosts(ctx context.Context, logAddr, listAddr netip.AddrPort) error {
	ports := &reservedPorts{}
	var all []*settings.Settings
	for i := range s.Hosts {
		cfg, err := ports.hostSettings(i)
		if err != nil {
			return err
		}
		cfg.LogAddr, cfg.HostListAddr = logAddr, listAddr
		all = append(all, cfg)
		s.Callers = append(s.Callers, cfg.CallerAddr)
	}
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.hostErrs = make(chan error, len(all))
	for _, cfg := range all {
		cfg.Peers = peersOf(cfg, all)
		h, err := host.New(cfg, ports, &clock.Service{}, s.Logger.With(zap.String("Host", cfg.Name)))
		if err != nil {
			return err
		}
		s.runningHosts++
		go func() { s.hostErrs <- h.Run(ctx) }()
	}
	return nil
}

// peersOf returns the hosts of all other than that of cfg.
func peersOf(cfg *settings.Settings, all []*settings.Settings) []settings.Peer {
	var peers []settings.Peer
	for _, other := range all {
		if other != cfg {
			peers = append(peers, settings.Peer{Name: other.Name, Addr: other.PeerAddr, Domain: other.Domain})
		}
	}
	return peers
}

// readyPollInterval is the time between two readiness polls of a host.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every host is ready or ctx ends.
func (s *Site) waitReady(ctx context.Context) error {
	var c clock.Service
	for _, addr := range s.Callers {
		for !isReady(ctx, addr) {
			if err := c.Sleep(ctx, readyPollInterval); err != nil {
				return fmt.Errorf("host %s is not ready: %w", addr, err)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, addr netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Stop drains the hosts, then stops the stand-ins. It returns the first error
// of a host.
func (s *Site) Stop() error {
	if s.cancel != nil {
		s.cancel()
	}
	var first error
	for range s.runningHosts {
		if err := <-s.hostErrs; err != nil && first == nil {
			first = err
		}
	}
	for _, server := range s.servers {
		server.Stop()
	}
	return first
}
