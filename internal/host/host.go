// Package host assembles one host of the system from its components and serves
// callers over HTTP and peers over net/rpc. Host is the assembled process; New
// is its Wire injector.
package host

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/memory"
	"berylswitch.example/berylswitch/internal/order"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/report"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/internal/workspace"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Host is one host of the system. The exported fields must be set before Run;
// New sets them from the settings.
type Host struct {
	Settings   *settings.Settings
	Net        link.Network
	Clock      *clock.Service
	Log        *zap.Logger
	Follower   *section.Follower
	Exchange   *peer.Exchange
	Targets    *target.Registry
	Dispatcher *queue.Dispatcher
	Runner     *pipeline.Runner
	Admission  *workspace.Admission
	Claims     *claim.Holder
	Claimer    *claim.Client
	Leases     *lease.Manager
	Orders     *order.Reconciler
	PeerCaller *peer.Caller
	PeerServer *peer.Server
	Report     *report.Recorder
	Metrics    metrics.Registry

	requests requestTracker
	// bodies bounds the memory of callers' large bodies.
	bodies         memory.Budget
	draining       atomic.Bool
	callerListener net.Listener
	peerListener   net.Listener
	server         *link.Server
}

// Run serves until ctx ends and then drains: the host reports that it is not
// ready, accepts work for another Settings.DrainDelay, then refuses new work and
// waits up to Settings.DrainTimeout for the requests in flight. The background
// tasks run until the drain is over.
func (h *Host) Run(ctx context.Context) error {
	h.requests.Clock = h.Clock
	h.bodies.Bytes = maxBodiesBytes
	h.Follower.OnState = func(s *section.State) {
		h.Targets.Publish(s.View)
		go h.Exchange.Announce()
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.Log.Info("serving", zap.Stringer("CallerAddr", h.Settings.CallerAddr), zap.Stringer("PeerAddr", h.Settings.PeerAddr))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.server = link.NewServer(h.Clock, newServer(h.handler()), &callerListener{h.callerListener, h.Clock})
	h.server.Limit = h.connLimit("Callers", h.Settings.MaxConnections())
	h.PeerServer.Limit = h.connLimit("Peers", h.Settings.MaxPeerConnections())
	h.PeerServer.Memory = &memory.Budget{Bytes: maxPeerMessageBytes}
	h.PeerServer.OnRefuse = peer.ReportRefused(h.Log, h.Metrics)
	g, groupCtx := errgroup.WithContext(background)
	g.Go(func() error { return h.Follower.Run(groupCtx) })
	g.Go(func() error { return h.Exchange.Run(groupCtx) })
	g.Go(func() error { return h.Targets.Run(groupCtx) })
	g.Go(func() error { return h.Dispatcher.Run(groupCtx) })
	g.Go(func() error { return h.Claims.Run(groupCtx) })
	g.Go(func() error { return h.Claimer.Run(groupCtx) })
	g.Go(func() error { return h.Leases.Run(groupCtx) })
	g.Go(func() error { return h.Orders.Run(groupCtx) })
	g.Go(func() error { return h.PeerServer.Serve(h.peerListener) })
	g.Go(h.server.Serve)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			h.drain()
		case <-groupCtx.Done():
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

func (h *Host) listen() error {
	callers, err := h.Net.Listen(h.Settings.CallerAddr)
	if err != nil {
		return err
	}
	peers, err := peerNetwork(h.Settings, h.Net).Listen(h.Settings.PeerAddr)
	if err != nil {
		callers.Close()
		return err
	}
	h.callerListener = &link.RetryListener{Listener: callers, Clock: h.Clock, Log: h.Log}
	h.peerListener = &link.RetryListener{Listener: peers, Clock: h.Clock, Log: h.Log}
	return nil
}

// drain performs a graceful shutdown. It takes no context because the settings
// bound its duration.
func (h *Host) drain() {
	ctx := context.Background()
	h.draining.Store(true)
	h.Log.Info("draining", zap.Duration("Delay", time.Duration(h.Settings.DrainDelay)))
	h.Clock.Sleep(ctx, time.Duration(h.Settings.DrainDelay))
	h.requests.close()
	h.Exchange.Leave()
	timeout := time.Duration(h.Settings.DrainTimeout)
	start := h.Clock.Now()
	unfinished := h.requests.wait(ctx, timeout)
	for _, id := range unfinished {
		h.Log.Warn("request cut by the end of the drain", zap.String("RequestID", id))
	}
	calls := h.waitForPeerCalls(ctx, timeout-h.Clock.Since(start))
	h.Log.Info("drained", zap.Int("RequestsLeft", len(unfinished)), zap.Int("PeerCallsLeft", calls))
}

// close closes every connection. Complete answers have been written by then: a
// request counts as in flight until its last byte is written.
func (h *Host) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := h.server.Drain(ctx); err != nil {
		h.Log.Info("caller connections still open at the end of the drain", zap.Error(err))
	}
	h.peerListener.Close()
	h.PeerServer.Close()
	h.PeerCaller.Close()
	h.Runner.Client.Close()
}

// waitForPeerCalls waits up to timeout for the running RPCs of peers to finish
// and returns the number of those that are still running.
func (h *Host) waitForPeerCalls(ctx context.Context, timeout time.Duration) int {
	start := h.Clock.Now()
	for h.PeerServer.RunningCalls() > 0 && h.Clock.Since(start) < timeout {
		h.Clock.Sleep(ctx, peerPollInterval)
	}
	return h.PeerServer.RunningCalls()
}

// peerPollInterval is the interval at which waitForPeerCalls polls.
const peerPollInterval = 20 * time.Millisecond

// SoftMemoryBytes is the soft memory limit of the garbage collector: as the heap
// grows towards it, collections become more frequent.
const SoftMemoryBytes = 1 << 30

// shutdownTimeout bounds the wait for callers to read the end of their answers.
const shutdownTimeout = time.Second
