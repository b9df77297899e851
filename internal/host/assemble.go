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
	"berylswitch.example/berylswitch/internal/report"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
)

func provideClient(s *settings.Settings, n link.Network) *platform.Client {
	return platform.NewClient(n, s.LogAddr, s.HostListAddr)
}

func provideExchange(s *settings.Settings, n link.Network, c *clock.Service) *peer.Exchange {
	x := &peer.Exchange{
		Self:  peer.Host{Name: s.Name, Addr: s.PeerAddr, Domain: s.Domain, Incarnation: time.Now().UnixNano()},
		Net:   n,
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

func provideReport(s *settings.Settings, c *clock.Service) *report.Recorder {
	return &report.Recorder{Clock: c, Name: s.Name}
}

func provideRPC() *rpc.Server { return rpc.NewServer() }
