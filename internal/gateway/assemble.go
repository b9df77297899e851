package gateway

import (
	"context"
	"net/netip"
	"net/rpc"
	"time"

	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/fleet"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/placement"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/internal/workspace"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// crashLimit is the number of targets that a request may break.
const crashLimit = 3

// Directory finds hosts of the system when no peer is known.
type Directory interface {
	Hosts(ctx context.Context) ([]netip.AddrPort, error)
}

// hostAt is the host at a peer address, which is also its name: an address is
// what the settings tell of other hosts.
func hostAt(addr netip.AddrPort) peer.Host { return peer.Host{Name: addr.String(), Addr: addr} }

// linkPerCore is the bandwidth in Mbit/s that a host with a whole core for
// others uses.
const linkPerCore = 250

// strength is what a host can do for others, in cores.
func strength(s *settings.Gateway) float64 {
	return min(s.CPUShare*s.CPUSpeed, s.LinkMbps/linkPerCore)
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

// readMargin is left of the time in which a change has to be in force for the
// read that brings it.
const readMargin = 1500 * time.Millisecond

func provideFollower(s *settings.Gateway, c *clock.Service, log *zap.Logger, feed catalog.Feed, x *peer.Exchange, caller *peer.Caller) *catalog.Follower {
	return &catalog.Follower{Feed: feed, Clock: c, Log: log, Self: x.Self.Name, Members: x, Seeds: x.Seeds, Peers: caller,
		Wait: time.Duration(s.SettleTime+s.ApplyTime) - readMargin, ApplyTime: time.Duration(s.ApplyTime)}
}

func provideFormer(c *clock.Service, log *zap.Logger, pool stage.Pool, f *catalog.Follower, x *peer.Exchange) *stage.Former {
	return &stage.Former{Self: x.Self.Name, Clock: c, Log: log, Pool: pool, Catalog: f.Snapshot}
}

func provideStages(c *clock.Service, log *zap.Logger, x *peer.Exchange, caller *peer.Caller, f *stage.Former) *stage.Client {
	return &stage.Client{Clock: c, Log: log, Self: x.Self.Name, Members: x, Peers: caller, Former: f}
}

func provideFleet(s *settings.Gateway, c *clock.Service, log *zap.Logger) *fleet.Fleet {
	return &fleet.Fleet{Clock: c, Log: log, Domain: s.Domain}
}

func provideBoards(c *clock.Service, f *catalog.Follower) *placement.Holder {
	return &placement.Holder{Clock: c, Catalog: f.Snapshot}
}

func providePlaces(c *clock.Service, log *zap.Logger, x *peer.Exchange, caller *peer.Caller, boards *placement.Holder) *placement.Client {
	return &placement.Client{Self: x.Self.Name, Clock: c, Log: log, Members: x, Peers: caller, Holder: boards}
}

func provideRepeats(s *settings.Gateway, c *clock.Service, x *peer.Exchange) *workspace.RepeatBudget {
	return &workspace.RepeatBudget{
		Clock:  c,
		Window: time.Duration(s.RepeatWindow),
		Ratio:  s.RepeatRatio,
		Slack:  s.RepeatSlack,
		Hosts:  func() int { return max(len(x.Members().Hosts), len(s.Peers)) },
	}
}

func provideCrashes(c *clock.Service, x *peer.Exchange, caller *peer.Caller) *crash.Table {
	return &crash.Table{Self: x.Self.Name, Clock: c, Exchange: x, Peers: caller, Limit: crashLimit}
}

func provideCaller(n link.Network) *peer.Caller { return &peer.Caller{Net: n} }

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }

// providePeers registers the services that peers call.
func providePeers(x *peer.Exchange, f *catalog.Follower, t *crash.Table, former *stage.Former, boards *placement.Holder) (*peer.Server, error) {
	s := &peer.Server{RPC: rpc.NewServer()}
	for _, register := range []func(*rpc.Server) error{x.Register, f.Register, t.Register, former.Register, boards.Register} {
		if err := register(s.RPC); err != nil {
			return nil, err
		}
	}
	return s, nil
}
