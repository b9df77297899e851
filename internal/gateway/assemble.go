package gateway

import (
	"context"
	"net/netip"
	"net/rpc"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/placement"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/internal/workspace"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Directory discovers hosts of the system when no peer is known.
type Directory interface {
	// Hosts returns the registered hosts and registers this one.
	Hosts(ctx context.Context) ([]netip.AddrPort, error)
	// Renew registers this host again if it was registered before and the store has lost
	// that.
	Renew(ctx context.Context) error
}

// hostAt returns the host at a peer address. The address is also its name, since
// the settings list other hosts by address only.
func hostAt(addr netip.AddrPort) peer.Host { return peer.Host{Name: addr.String(), Addr: addr} }

// linkMbpsPerCore is the bandwidth in Mbit/s used by a host that has one whole
// core for work on behalf of other hosts.
const linkMbpsPerCore = 250

// strength returns the capacity of a host for work on behalf of other hosts, in
// cores.
func strength(s *settings.Gateway) float64 {
	return min(s.CPUShare*s.CPUSpeed, s.LinkMbps/linkMbpsPerCore)
}

func provideExchange(s *settings.Gateway, n link.Network, c *clock.Service, caller *peer.Caller, d Directory) *peer.Exchange {
	self := hostAt(s.PeerAddr)
	self.Domain, self.Incarnation, self.Strength = s.Domain, time.Now().UnixNano(), strength(s)
	x := &peer.Exchange{Self: self, Net: n, Clock: c, Caller: caller}
	for _, addr := range s.Peers {
		if addr != s.PeerAddr {
			x.Seeds = append(x.Seeds, hostAt(addr))
		}
	}
	x.Discover = func(ctx context.Context) ([]peer.Host, error) {
		addrs, err := d.Hosts(ctx)
		if err != nil {
			return nil, err
		}
		var out []peer.Host
		for _, addr := range addrs {
			out = append(out, hostAt(addr))
		}
		return out, nil
	}
	return x
}

func provideFollower(s *settings.Gateway, c *clock.Service, log *zap.Logger, feed catalog.Feed, x *peer.Exchange, caller *peer.Caller) *catalog.Follower {
	return &catalog.Follower{Feed: feed, Clock: c, Log: log, Self: x.Self.Name, Members: x, Seeds: x.Seeds, Peers: caller,
		ApplyTime: time.Duration(s.ApplyTime)}
}

func provideBatcher(c *clock.Service, log *zap.Logger, pool stage.Pool, s *settings.Gateway, f *catalog.Follower, x *peer.Exchange, signals *backpressure.Table, quotas *backpressure.Holder, registry metrics.Registry) *stage.Batcher {
	return &stage.Batcher{Self: x.Self.Name, Clock: c, Log: log, Pool: pool, Catalog: f.Snapshot, Backpressure: signals, Quotas: quotas,
		Stopped: metrics.GetOrRegisterCounter(stoppedCounter, registry), Admission: stage.Admission(s.StageAdmission), Metrics: registry}
}

func provideBackpressure(s *settings.Gateway, c *clock.Service, log *zap.Logger, x *peer.Exchange, f *catalog.Follower) *backpressure.Table {
	b := &backpressure.Table{Clock: c, Log: log, Exchange: x, Catalog: f.Snapshot, Cold: coldBounds(s)}
	f.OnEntry, f.OnPutBack = b.ObserveEntry, b.MarkDomainCold
	b.Listen()
	return b
}

// coldBounds returns the bounds on the requests to cold targets.
func coldBounds(s *settings.Gateway) backpressure.ColdBounds {
	return backpressure.ColdBounds{Factor: s.ColdFactor, Slack: s.ColdSlack}
}

// hostLifetime is how long a host counts as one that shares what all hosts may use
// together, after it was last seen alive.
const hostLifetime = 10 * time.Minute

func provideHostCount(s *settings.Gateway, c *clock.Service, x *peer.Exchange) *peer.RecentMax {
	return &peer.RecentMax{Clock: c, Lifetime: hostLifetime, Count: func() int { return max(len(x.Members().Hosts), len(s.Peers)) }}
}

func provideQuotas(c *clock.Service, log *zap.Logger, hosts *peer.RecentMax, b *backpressure.Table) *backpressure.Holder {
	return &backpressure.Holder{Clock: c, Log: log, Table: b, Hosts: hosts.Value}
}

func provideQuotaClient(c *clock.Service, log *zap.Logger, x *peer.Exchange, caller *peer.Caller, hosts *peer.RecentMax, b *backpressure.Table, quotas *backpressure.Holder) *backpressure.Client {
	return &backpressure.Client{Self: x.Self.Name, Clock: c, Log: log, Table: b, Holders: &peer.Picker{Clock: c, Members: x.Members}, Peers: caller,
		Holder: quotas, Hosts: hosts.Value}
}

func provideStageClient(s *settings.Gateway, c *clock.Service, log *zap.Logger, x *peer.Exchange, caller *peer.Caller, batcher *stage.Batcher) *stage.Client {
	return &stage.Client{Clock: c, Log: log, Self: x.Self.Name, Members: x, Peers: caller, Batcher: batcher, Admission: stage.Admission(s.StageAdmission)}
}

func provideBalancer(s *settings.Gateway, c *clock.Service, log *zap.Logger) *fleet.Balancer {
	return &fleet.Balancer{Clock: c, Log: log, Domain: s.Domain}
}

func provideLoadTables(s *settings.Gateway, c *clock.Service, log *zap.Logger, f *catalog.Follower, quotas *backpressure.Holder) *placement.Holder {
	return &placement.Holder{Clock: c, Log: log, Catalog: f.Snapshot, Quotas: quotas, Policy: placement.Policy(s.PlacementPolicy)}
}

func providePlacement(c *clock.Service, log *zap.Logger, x *peer.Exchange, caller *peer.Caller, tables *placement.Holder) *placement.Client {
	return &placement.Client{Self: x.Self.Name, Clock: c, Log: log, Holders: &peer.Picker{Clock: c, Members: x.Members}, Peers: caller, Holder: tables}
}

func provideRepeatBudget(s *settings.Gateway, c *clock.Service, hosts *peer.RecentMax) *workspace.RepeatBudget {
	return &workspace.RepeatBudget{
		Clock:  c,
		Window: time.Duration(s.RepeatWindow),
		Ratio:  s.RepeatRatio,
		Slack:  s.RepeatSlack,
		Hosts:  hosts.Value,
	}
}

func provideCrashTable(c *clock.Service, log *zap.Logger, x *peer.Exchange, caller *peer.Caller, hosts *peer.RecentMax, archive crash.Archive) *crash.Table {
	return &crash.Table{Self: x.Self.Name, Clock: c, Log: log, Exchange: x, Peers: caller, Hosts: hosts.Value, Archive: archive}
}

func provideResponseMemory(s *settings.Gateway) *memory.Budget {
	return &memory.Budget{Bytes: s.CallerLimits(0).ResponseBytes}
}

func providePeerCaller(n link.Network) *peer.Caller { return &peer.Caller{Net: n} }

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }

// providePeerServer registers the RPC services that peers call.
func providePeerServer(x *peer.Exchange, f *catalog.Follower, t *crash.Table, batcher *stage.Batcher, tables *placement.Holder, quotas *backpressure.Holder) (*peer.Server, error) {
	s := &peer.Server{RPC: rpc.NewServer()}
	for _, register := range []func(*rpc.Server) error{x.Register, f.Register, t.Register, batcher.Register, tables.Register, quotas.Register} {
		if err := register(s.RPC); err != nil {
			return nil, err
		}
	}
	return s, nil
}
