// Package host assembles the parts of one host of the system and serves
// callers over HTTP and peers over net/rpc.
package host

import (
	"context"
	"errors"
	"net"
	"net/http"

	"berylswitch.example/berylswitch/internal/claim"
	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/pipeline"
	"berylswitch.example/berylswitch/internal/queue"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/internal/workspace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Host is one host. Exported fields are set before Run; New sets them from
// settings.
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
	Caller     *peer.Caller
	Peers      *peer.Server
}

// Run serves until ctx ends, then drains.
func (h *Host) Run(ctx context.Context) error {
	h.Follower.OnState = func(s *section.State) {
		h.Targets.Publish(s.View)
		go h.Exchange.Announce()
	}
	callers, err := h.Net.Listen(h.Settings.CallerAddr)
	if err != nil {
		return err
	}
	peers, err := peerNetwork(h.Settings, h.Net).Listen(h.Settings.PeerAddr)
	if err != nil {
		callers.Close()
		return err
	}
	h.Log.Info("serving", zap.Stringer("CallerAddr", h.Settings.CallerAddr), zap.Stringer("PeerAddr", h.Settings.PeerAddr))
	server := &http.Server{Handler: h.handler()}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.Follower.Run(ctx) })
	g.Go(func() error { return h.Exchange.Run(ctx) })
	g.Go(func() error { return h.Dispatcher.Run(ctx) })
	g.Go(func() error { return h.Claims.Run(ctx) })
	g.Go(func() error { return h.Claimer.Run(ctx) })
	g.Go(func() error { return h.Peers.Serve(peers) })
	g.Go(func() error { return ignoreClosed(server.Serve(callers)) })
	g.Go(func() error {
		<-ctx.Done()
		h.Exchange.Leave()
		err := server.Shutdown(context.WithoutCancel(ctx))
		peers.Close()
		h.Peers.Close()
		h.Caller.Close()
		return err
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
