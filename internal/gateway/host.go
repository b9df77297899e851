package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
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
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/internal/workspace"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Host is one gateway process. Exported fields are set before Run; New sets
// them from settings.
type Host struct {
	Settings *settings.Gateway
	Net      link.Network
	Clock    *clock.Service
	Log      *zap.Logger
	Format   Format
	Follower *catalog.Follower
	Exchange *peer.Exchange
	Caller   *peer.Caller
	Peers    *peer.Server
	Former   *stage.Former
	Stages   *stage.Client
	Fleet    *fleet.Fleet
	Places   *placement.Client
	Upstream *upstream.Client
	Repeats  *workspace.RepeatBudget
	Crashes  *crash.Table
	Metrics  metrics.Registry

	front   front
	leaving atomic.Bool
	joined  atomic.Bool
	// grace is the grace period in force, a time.Duration.
	grace atomic.Int64
	// open is the number of requests that are being served.
	open atomic.Int64
	// ending ends the requests that are left when the process has to end.
	ending context.Context
	end    context.CancelCauseFunc
}

// Times of a shutdown.
const (
	// leaveTime is how long a host that is told to stop still takes new
	// connections: the balancer sends them until it has asked twice in vain.
	leaveTime = 3 * time.Second
	// endMargin is left of the grace period for the last answers and for the
	// process to end, answerTime is the part of it for the answers.
	endMargin  = 900 * time.Millisecond
	answerTime = 400 * time.Millisecond
	// drainPoll is the time between two looks at the requests in flight.
	drainPoll = 20 * time.Millisecond
)

// Run serves until ctx ends, then drains: the host is not ready from then on,
// serves what arrives for leaveTime more, and ends once no request is in flight
// or the grace period is nearly over.
func (h *Host) Run(ctx context.Context) error {
	h.Follower.OnChange = h.changed
	h.grace.CompareAndSwap(0, int64(h.Settings.GracePeriod))
	h.ending, h.end = context.WithCancelCause(context.WithoutCancel(ctx))
	defer h.end(nil)
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, partsCtx := errgroup.WithContext(parts)
	servers, err := h.listen(g)
	if err != nil {
		return err
	}
	h.Log.Info("serving", zap.Stringer("CallerAddr", h.Settings.CallerAddr), zap.Stringer("PeerAddr", h.Settings.PeerAddr),
		zap.String("Domain", h.Settings.Domain), zap.Int("Peers", len(h.Settings.Peers)))
	for _, run := range []func(context.Context) error{h.Follower.Run, h.join, h.Former.Run, h.Stages.Watch, h.Places.Run} {
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

// join runs the exchange once this host can be of use to others: a member may
// hold services, and needs to know their targets.
func (h *Host) join(ctx context.Context) error {
	start := h.Clock.Now()
	for !h.Follower.Ready() {
		if err := h.Clock.Sleep(ctx, joinPoll); err != nil {
			return err
		}
	}
	h.joined.Store(true)
	h.Log.Info("joining the exchange", zap.Duration("After", h.Clock.Since(start)))
	return h.Exchange.Run(ctx)
}

// joinPoll is the time between two looks at whether the host is ready to join.
const joinPoll = 10 * time.Millisecond

// listen opens the host's listeners and serves them in g.
func (h *Host) listen(g *errgroup.Group) ([]*http.Server, error) {
	callers, err := h.Net.Listen(h.Settings.CallerAddr)
	if err != nil {
		return nil, err
	}
	h.front.open(h, callers)
	peers, err := h.Net.Listen(h.Settings.PeerAddr)
	if err != nil {
		return nil, err
	}
	g.Go(func() error { return h.Peers.Serve(peers) })
	var servers []*http.Server
	for _, s := range []struct {
		addr    netip.AddrPort
		handler http.Handler
	}{
		{h.Settings.ReadyAddr, h.readyHandler()},
		{netip.AddrPortFrom(h.Settings.CallerAddr.Addr(), uint16(h.Settings.MetricsPort)), h.metricsHandler()},
	} {
		l, err := h.Net.Listen(s.addr)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		g.Go(func() error { return link.IgnoreClosed(server.Serve(l)) })
	}
	g.Go(func() error { <-h.front.closed(); peers.Close(); return nil })
	return servers, nil
}

// changed takes a new snapshot into use.
func (h *Host) changed(s *catalog.Snapshot) {
	h.Fleet.Keep(s)
	if s.Table != nil {
		h.front.limit(s.Table.Limits)
	}
}

// Reload takes new settings into use: the bounds of repeats and the grace period
// at once. Addresses, the store and the wait of reads take effect at the next
// start.
func (h *Host) Reload(s *settings.Gateway) {
	h.Repeats.SetLimit(s.RepeatRatio, s.RepeatSlack)
	h.grace.Store(int64(s.GracePeriod))
	h.Log.Info("settings reloaded", zap.Duration("GracePeriod", time.Duration(s.GracePeriod)),
		zap.Float64("RepeatRatio", s.RepeatRatio), zap.Float64("RepeatSlack", s.RepeatSlack),
		zap.Bool("RestartNeeded", s.StoreAddr != h.Settings.StoreAddr || s.CallerAddr != h.Settings.CallerAddr || s.PeerAddr != h.Settings.PeerAddr))
}

// ready reports whether the balancer should send new connections.
func (h *Host) ready() bool { return !h.leaving.Load() && h.Follower.Ready() }

// drain goes through the steps of a graceful shutdown.
func (h *Host) drain(ctx context.Context) {
	h.leaving.Store(true)
	grace := time.Duration(h.grace.Load()) - endMargin
	h.Log.Info("draining", zap.Int64("Open", h.open.Load()), zap.Duration("Grace", grace))
	if h.joined.Load() {
		h.Exchange.Leave()
	}
	h.Former.Retire()
	start := h.Clock.Now()
	h.Clock.Sleep(ctx, min(leaveTime, grace))
	h.front.stop()
	for h.open.Load() > 0 && h.Clock.Since(start) < grace {
		h.Clock.Sleep(ctx, drainPoll)
	}
	h.end(errEnding)
	for h.open.Load() > 0 && h.Clock.Since(start) < grace+answerTime {
		h.Clock.Sleep(ctx, drainPoll)
	}
	for h.Peers.Running() > 0 && h.Clock.Since(start) < grace {
		h.Clock.Sleep(ctx, drainPoll)
	}
	h.Log.Info("stopping", zap.Int64("Open", h.open.Load()), zap.Int("PeerCalls", h.Peers.Running()), zap.Duration("Took", h.Clock.Since(start)))
}

// close ends every connection.
func (h *Host) close() {
	h.front.close()
	h.Peers.Close()
	h.Caller.Close()
	h.Upstream.Close()
}
