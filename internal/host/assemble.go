package host

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"time"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/rcrowley/go-metrics"
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

func provideRPC() *rpc.Server { return rpc.NewServer() }

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }

func provideClaimer() claim.Claimer { return noClaims{} }

// noClaims refuses every claim.
type noClaims struct{}

// Claim returns an error: nothing non-idempotent may run.
func (noClaims) Claim(context.Context, claim.Request) (claim.Verdict, error) {
	return nil, result.NotRun(result.LogUnavailable, "this host takes no non-idempotent requests")
}

// Release does nothing.
func (noClaims) Release(context.Context, claim.Request) error { return nil }

// Finish does nothing.
func (noClaims) Finish(context.Context, claim.Request, claim.Outcome) error { return nil }
