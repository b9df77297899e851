//go:build wireinject

package host

import (
	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/internal/workspace"
	"github.com/google/wire"
	"go.uber.org/zap"
)

// New assembles a host from its settings.
func New(s *settings.Settings, n link.Network, c *clock.Service, log *zap.Logger) (*Host, error) {
	panic(wire.Build(
		providePlatformClient,
		provideExchange,
		provideDispatcher,
		providePeerServer,
		provideReport,
		provideClaimHolder,
		provideLeases,
		provideOrders,
		claim.NewClient,
		wire.Bind(new(claim.Claimer), new(*claim.Client)),
		wire.Bind(new(claim.Members), new(*peer.Exchange)),
		target.NewClient,
		wire.Bind(new(platform.Log), new(*platform.Client)),
		providePeerCaller,
		provideFollower,
		provideRegistry,
		provideCrashTable,
		provideMetrics,
		wire.Struct(new(workspace.Admission), "*"),
		wire.Bind(new(workspace.WaitEstimator), new(*queue.Dispatcher)),
		wire.Struct(new(workspace.RetryBudget)),
		wire.Struct(new(pipeline.Runner), "*"),
		wire.Struct(new(Host), "Settings", "Net", "Clock", "Log", "Follower", "Exchange", "Targets", "Dispatcher", "Runner", "Admission", "Claims", "Claimer", "Leases", "Orders", "PeerCaller", "PeerServer", "Report", "Metrics"),
	))
}
