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

func provideDispatcher(s *settings.Settings, c *clock.Service, r *target.Registry, x *peer.Exchange, caller *peer.Caller, server *rpc.Server) *queue.Dispatcher {
	d := &queue.Dispatcher{Clock: c, Targets: r, Exchange: x, Caller: caller, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	var err error
	if d.Policy, err = queue.ParsePolicy(s.Policy); err != nil {
		panic(err) // settings.Load checked the name
	}
	if err := server.RegisterName(d.Service()); err != nil {
		panic(err)
	}
	return d
}

func provideCaller(n link.Network) *peer.Caller { return &peer.Caller{Net: n} }

func provideRPC() *rpc.Server { return rpc.NewServer() }
