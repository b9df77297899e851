package host

import (
	"math/rand/v2"
	"net/rpc"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
)

func provideClient(s *settings.Settings, n link.Network) *platform.Client {
	return platform.NewClient(platformNetwork(s, n), s.LogAddr, s.HostListAddr)
}

func provideExchange(s *settings.Settings, n link.Network, c *clock.Service) *peer.Exchange {
	x := &peer.Exchange{
		Self:  peer.Host{Name: s.Name, Addr: s.PeerAddr, Domain: s.Domain, Incarnation: time.Now().UnixNano()},
		Net:   peerNetwork(s, n),
		Clock: c,
	}
	for _, p := range s.Peers {
		x.Seeds = append(x.Seeds, peer.Host{Name: p.Name, Addr: p.Addr, Domain: p.Domain})
	}
	return x
}

func provideDispatcher(s *settings.Settings, c *clock.Service, r *target.Registry) *queue.Dispatcher {
	return &queue.Dispatcher{Clock: c, Targets: r, Policy: queue.LeastOfTwo{}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func provideCaller(s *settings.Settings, n link.Network) *peer.Caller {
	return &peer.Caller{Net: peerNetwork(s, n)}
}

func provideFollower(s *settings.Settings, log platform.Log, c *clock.Service, x *peer.Exchange, caller *peer.Caller) *section.Follower {
	return &section.Follower{
		Log:         log,
		Clock:       c,
		Self:        x.Self,
		Members:     x,
		Caller:      caller,
		SnapshotAge: time.Duration(s.SnapshotAge),
	}
}

func provideRPC(f *section.Follower) *rpc.Server {
	s := rpc.NewServer()
	if err := s.RegisterName(section.ServiceName, &section.Service{Follower: f}); err != nil {
		panic(err)
	}
	return s
}

// peerNetwork is the way to other hosts, platformNetwork that to the platform.
func peerNetwork(s *settings.Settings, n link.Network) link.Network { return secure(s.PeerTLS, n) }

func platformNetwork(s *settings.Settings, n link.Network) link.Network {
	return secure(s.PlatformTLS, n)
}

func secure(t *settings.TLS, n link.Network) link.Network {
	if t == nil {
		return n
	}
	return &link.TLS{Network: n, CertFile: t.CertFile, KeyFile: t.KeyFile, CAFile: t.CAFile}
}
