package host

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"time"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/order"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

func providePlatformClient(s *settings.Settings, n link.Network) *platform.Client {
	return platform.NewClient(platformNetwork(s, n), s.LogAddr, s.HostListAddr)
}

func provideExchange(s *settings.Settings, n link.Network, c *clock.Service, caller *peer.Caller, client *platform.Client, f *section.Follower) *peer.Exchange {
	x := &peer.Exchange{
		Self:   peer.Host{Name: s.Name, Addr: s.PeerAddr, Domain: s.Domain, Incarnation: time.Now().UnixNano()},
		Net:    peerNetwork(s, n),
		Clock:  c,
		Caller: caller,
		Offset: func() int64 { return int64(f.Offset()) },
	}
	x.OnNewerOffset = func(h peer.Host, offset int64) { f.NotifyPeerOffset(h, platform.Offset(offset)) }
	f.Self, f.Members = x.Self, x
	if s.HostListAddr.IsValid() {
		x.Discover = func(ctx context.Context) ([]peer.Host, error) { return discover(ctx, client) }
	}
	for _, p := range s.Peers {
		x.Seeds = append(x.Seeds, peer.Host{Name: p.Name, Addr: p.Addr, Domain: p.Domain})
	}
	return x
}

// discover returns the entries of the host list that are live hosts of the
// system.
func discover(ctx context.Context, list platform.HostList) ([]peer.Host, error) {
	entries, err := list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var out []peer.Host
	for _, e := range entries {
		if e.Role == platform.HostRole && e.State == platform.Live {
			out = append(out, peer.Host{Name: e.Name, Addr: e.Addr})
		}
	}
	return out, nil
}

func provideDispatcher(s *settings.Settings, c *clock.Service, r *target.Registry, x *peer.Exchange, caller *peer.Caller, m metrics.Registry) (*queue.Dispatcher, error) {
	policy, err := queue.ParsePolicy(s.Policy)
	if err != nil {
		return nil, err
	}
	stats := queue.NewStats()
	if err := stats.Register(m); err != nil {
		return nil, err
	}
	return &queue.Dispatcher{
		Stats:    stats,
		Clock:    c,
		Targets:  r,
		Exchange: x,
		Caller:   caller,
		Policy:   policy,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, nil
}

// providePeerServer registers the RPC services that peers call.
func providePeerServer(x *peer.Exchange, f *section.Follower, claims *claim.Holder, r *target.Registry, t *crash.Table, d *queue.Dispatcher) (*peer.Server, error) {
	s := &peer.Server{RPC: rpc.NewServer()}
	if err := x.Register(s.RPC); err != nil {
		return nil, err
	}
	if err := r.Register(s.RPC); err != nil {
		return nil, err
	}
	if err := t.Register(s.RPC); err != nil {
		return nil, err
	}
	if err := s.RPC.RegisterName(section.RPCName, &section.Service{Follower: f}); err != nil {
		return nil, err
	}
	if err := s.RPC.RegisterName(d.Service()); err != nil {
		return nil, err
	}
	return s, s.RPC.RegisterName(claim.RPCName, &claim.Service{Holder: claims})
}

func provideClaimHolder(s *settings.Settings, c *clock.Service, l platform.Log, x *peer.Exchange) *claim.Holder {
	return &claim.Holder{Clock: c, Log: l, Members: x, Self: s.Name, Stats: claim.NewStats()}
}

func provideLeases(s *settings.Settings, c *clock.Service, l platform.Log, x *peer.Exchange) *lease.Manager {
	return &lease.Manager{Clock: c, Log: l, Members: x, Self: s.Name}
}

func provideOrders(c *clock.Service, n link.Network, leases *lease.Manager, f *section.Follower, targets *target.Client) *order.Reconciler {
	return &order.Reconciler{
		Clock:  c,
		Leases: leases,
		Sender: &order.Sender{Clock: c, Net: n},
		HTTP:   targets.HTTP,
		View:   func() *declaration.View { return viewInForce(f) },
	}
}

// viewInForce returns the declaration in force, or nil before the first one.
func viewInForce(f *section.Follower) *declaration.View {
	if s := f.State(); s != nil {
		return s.View
	}
	return nil
}

func provideRegistry(s *settings.Settings, c *clock.Service, client *platform.Client, x *peer.Exchange, peers *peer.Caller) *target.Registry {
	r := &target.Registry{Self: s.Name, Clock: c, Exchange: x, Peers: peers}
	if s.HostListAddr.IsValid() {
		r.HostList = client
	}
	return r
}

func provideCrashTable(s *settings.Settings, c *clock.Service, log *zap.Logger, x *peer.Exchange, peers *peer.Caller) *crash.Table {
	return &crash.Table{Self: s.Name, Clock: c, Log: log, Exchange: x, Peers: peers}
}

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }
