package gateway

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
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
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/internal/workspace"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
)

// Host is one gateway process. Exported fields must be set before Run; New sets
// them from settings.
type Host struct {
	Settings     *settings.Gateway
	Net          link.Network
	Clock        *clock.Service
	Log          *zap.Logger
	Format       Format
	Follower     *catalog.Follower
	Exchange     *peer.Exchange
	PeerCaller   *peer.Caller
	PeerServer   *peer.Server
	Backpressure *backpressure.Table
	// Quotas asks for turns at targets that have named a limit.
	Quotas    *backpressure.Client
	Batcher   *stage.Batcher
	Stages    *stage.Client
	Balancer  *fleet.Balancer
	Placement *placement.Client
	Upstream  *upstream.Client
	// ResponseMemory bounds the memory of large responses that are not streams.
	ResponseMemory *memory.Budget
	Repeats        *workspace.RepeatBudget
	Crashes        *crash.Table
	Directory      Directory
	Metrics        metrics.Registry

	// limits bound what callers can take; conns, bodies and streamMemory are what they
	// bound.
	limits       settings.CallerLimits
	conns        *callerConns
	bodies       *bodyMemory
	streamMemory *memory.Budget

	callerServer callerServer
	// shutdown is the shutdown that has started, or nil.
	shutdown atomic.Pointer[shutdown]
	joined   atomic.Bool
	// gracePeriod is the grace period in force, a time.Duration.
	gracePeriod atomic.Int64
	// openRequests is the number of requests in flight.
	openRequests atomic.Int64
	// reloadedRegions holds the regions of settings that were reloaded, or nil.
	reloadedRegions atomic.Pointer[map[string]string]
	warnings        operatorWarnings
	// unbegun holds the sends that have brought no event yet.
	unbegun unbegunSends
	// crashChecks joins the attempts to find out whether a target crashed, by address.
	crashChecks singleflight.Group
	// abortCtx is cancelled to abort the remaining requests when the process must
	// exit.
	abortCtx context.Context
	abort    context.CancelCauseFunc
}

// Run serves until ctx ends, then drains: the host reports that it is not ready,
// accepts requests for drainAcceptTime more, and returns once no request is in
// flight or the grace period is nearly over.
func (h *Host) Run(ctx context.Context) error {
	h.Follower.OnChange = h.applySnapshot
	h.Crashes.OnCrash = h.recallBlocked
	h.gracePeriod.CompareAndSwap(0, int64(h.Settings.GracePeriod))
	h.abortCtx, h.abort = context.WithCancelCause(context.WithoutCancel(ctx))
	defer h.abort(nil)
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, partsCtx := errgroup.WithContext(parts)
	servers, err := h.listen(g)
	if err != nil {
		return err
	}
	h.Follower.OnNewEra = func(era catalog.Era) { go h.renewRecords(partsCtx, era) }
	h.Log.Info("serving", zap.Stringer("CallerAddr", h.Settings.CallerAddr), zap.Stringer("PeerAddr", h.Settings.PeerAddr),
		zap.String("Domain", h.Settings.Domain), zap.Int("Peers", len(h.Settings.Peers)))
	for _, run := range []func(context.Context) error{h.Follower.Run, h.join, h.Batcher.Run, h.Stages.Watch, h.Placement.Run, h.Quotas.Run, h.Crashes.Run} {
		g.Go(func() error { return run(partsCtx) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			h.drain(context.WithoutCancel(ctx))
		case <-partsCtx.Done():
		}
		for _, s := range servers {
			s.Close()
		}
		h.close()
		stop()
		return nil
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// responseMemoryWait is how long a response waits for memory. Its request has run, so that
// failing it is the worst; but a target aborts a response that stays unread for some
// seconds.
const responseMemoryWait = 3 * time.Second

// limitCallers sets up the limits on callers before the first one connects. granted is the
// size in bytes of the receive buffers of their connections, or zero if it is unknown.
func (h *Host) limitCallers(granted int) {
	h.limits = h.Settings.CallerLimits(granted)
	h.conns = &callerConns{Clock: h.Clock, Log: h.Log, Metrics: h.Metrics, Max: h.limits.MaxConns, WritePause: h.limits.WritePause,
		Headers: &memory.Budget{Bytes: h.limits.HeaderBytes, Wait: h.limits.HeaderWait}}
	h.bodies = newBodyMemory(h.limits, h.conns)
	h.streamMemory = &memory.Budget{Bytes: h.limits.StreamBytes}
	h.ResponseMemory.Relieve = h.conns.endUnreadResponse
	h.ResponseMemory.Wait = responseMemoryWait
	h.Log.Info("limits on callers", zap.Int("Connections", h.limits.MaxConns), zap.Int("PeerConnections", h.limits.PeerConns),
		zap.Int("ReceiveBuffer", int(settings.CallerReceiveBuffer)), zap.Int("ReceiveBufferGranted", granted), zap.Int64("SmallBodyBytes", h.limits.SmallBodyBytes),
		zap.Int64("BodyBytes", h.limits.BodyBytes), zap.Int64("ResponseBytes", h.limits.ResponseBytes), zap.Int64("StreamBytes", h.limits.StreamBytes),
		zap.Int64("HeaderBytes", h.limits.HeaderBytes), zap.Int64("PeerBytes", h.limits.PeerBytes), zap.Int64("StreamBufferBytes", h.limits.StreamBufferBytes), zap.Duration("HeaderWait", h.limits.HeaderWait), zap.Duration("BodyPause", h.limits.BodyPause), zap.Duration("WritePause", h.limits.WritePause))
}

// join runs the exchange once this host has read the configuration: a member may
// be the holder of services, and needs to know their targets.
func (h *Host) join(ctx context.Context) error {
	start := h.Clock.Now()
	for !h.Follower.Ready() {
		if err := h.Clock.Sleep(ctx, joinPollInterval); err != nil {
			return err
		}
	}
	h.joined.Store(true)
	h.Log.Info("joining the exchange", zap.Duration("After", h.Clock.Since(start)))
	return h.Exchange.Run(ctx)
}

// joinPollInterval is the time between two polls of whether the host can join.
const joinPollInterval = 10 * time.Millisecond

// listen opens the host's listeners and serves them in goroutines of g.
func (h *Host) listen(g *errgroup.Group) ([]*link.Server, error) {
	callers, err := h.listenOn(h.Settings.CallerAddr)
	if err != nil {
		return nil, err
	}
	h.limitCallers(link.Granted(callers.Listener))
	h.callerServer.start(h, callers)
	peers, err := h.listenOn(h.Settings.PeerAddr)
	if err != nil {
		return nil, err
	}
	h.PeerServer.Limit = h.connLimit("Peers", h.limits.PeerConns)
	h.PeerServer.Memory = &memory.Budget{Bytes: h.limits.PeerBytes}
	h.PeerServer.OnRefuse = peer.ReportRefused(h.Log, h.Metrics)
	g.Go(func() error { return h.PeerServer.Serve(peers) })
	g.Go(func() error { <-h.callerServer.closed(); peers.Close(); return nil })
	return h.listenForProbes(g)
}

// listenOn opens a listener that goes on after errors that pass.
func (h *Host) listenOn(addr netip.AddrPort) (*link.RetryListener, error) {
	l, err := h.Net.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &link.RetryListener{Listener: l, Clock: h.Clock, Log: h.Log}, nil
}

// applySnapshot applies a new snapshot of the catalog.
func (h *Host) applySnapshot(s *catalog.Snapshot) {
	h.Balancer.Prune(s)
	h.Backpressure.Prune(s)
	h.warnOfOperatorRecords(s)
	if s.Table != nil {
		h.callerServer.setLimits(s.Table.Limits)
	}
}

// Reload applies new settings, also while the host drains. The limits on repeats and on
// requests to cold targets, the regions and the grace period take effect at once, except
// that a shutdown keeps the grace period with which it began; addresses, the store, the
// waiting time of catalog reads, the policies of placement and of admission, and whether
// engines are told priorities take effect at the next start.
func (h *Host) Reload(s *settings.Gateway) {
	h.Repeats.SetLimit(s.RepeatRatio, s.RepeatSlack)
	h.reloadedRegions.Store(&s.Regions)
	h.Backpressure.SetColdBounds(coldBounds(s))
	h.gracePeriod.Store(int64(s.GracePeriod))
	h.Log.Info("settings reloaded", zap.Duration("GracePeriod", time.Duration(s.GracePeriod)),
		zap.Float64("RepeatRatio", s.RepeatRatio), zap.Float64("RepeatSlack", s.RepeatSlack),
		zap.Float64("ColdFactor", s.ColdFactor), zap.Float64("ColdSlack", s.ColdSlack),
		zap.Bool("RestartNeeded", s.NeedsRestart(h.Settings)))
}

// ready reports whether the load balancer should send new connections.
func (h *Host) ready() bool {
	return h.shutdown.Load() == nil && h.Follower.Ready() && !h.callerServer.listener.Failing()
}

// close closes all connections.
func (h *Host) close() {
	h.callerServer.close()
	h.PeerServer.Close()
	h.PeerCaller.Close()
	h.Upstream.Close()
}
