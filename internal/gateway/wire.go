//go:build wireinject

package gateway

import (
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/crash"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/stage"
	"berylswitch.example/berylswitch/internal/upstream"
	"github.com/google/wire"
	"go.uber.org/zap"
)

// New returns a host built from its settings and the parts that an adapter
// provides.
func New(s *settings.Gateway, n link.Network, c *clock.Service, log *zap.Logger, u *upstream.Client, f Format, feed catalog.Feed, pool stage.Pool, d Directory, archive crash.Archive) (*Host, error) {
	panic(wire.Build(
		provideExchange,
		provideHostCount,
		provideFollower,
		provideBackpressure,
		provideQuotas,
		provideQuotaClient,
		provideBatcher,
		provideStageClient,
		provideBalancer,
		provideLoadTables,
		providePlacement,
		provideRepeatBudget,
		provideCrashTable,
		providePeerCaller,
		provideResponseMemory,
		provideMetrics,
		providePeerServer,
		wire.Struct(new(Host), "Settings", "Net", "Clock", "Log", "Format", "Follower", "Exchange", "PeerCaller", "PeerServer", "Backpressure", "Quotas", "Batcher", "Stages", "Balancer", "Placement", "Upstream", "ResponseMemory", "Repeats", "Crashes", "Directory", "Metrics"),
	))
}
