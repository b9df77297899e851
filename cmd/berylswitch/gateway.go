package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/gateway"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/platform"
	"go.uber.org/zap"
)

// gatewayCommand runs a host on the users' platform until it is told to stop.
type gatewayCommand struct {
	Check    bool   `long:"check" description:"check the settings and exit"`
	Settings string `long:"settings" env:"BERYLSWITCH_SETTINGS" required:"yes" description:"the settings file, JSON with comments"`

	ctx context.Context
}

// Execute runs the command.
func (c *gatewayCommand) Execute([]string) error {
	s, err := settings.LoadGateway(c.Settings)
	if err != nil || c.Check {
		return err
	}
	gateway.TuneCollector(s.MemoryMB)
	out := journal.NewWriter(os.Stdout)
	log := journal.NewLogger(out).With(zap.String("Host", s.Name))
	defer out.Close()
	h, err := newGateway(s, log)
	if err != nil {
		return err
	}
	go reload(c.ctx, c.Settings, log)
	return h.Run(c.ctx)
}

// newGateway assembles a host with the adapter's parts.
func newGateway(s *settings.Gateway, log *zap.Logger) (*gateway.Host, error) {
	n, c := link.TCP{}, &clock.Service{}
	store := platform.NewStore(n, s.StoreAddr)
	u := &upstream.Client{Net: n, Clock: c}
	return gateway.New(s, n, c, log, u,
		platform.Format{},
		&platform.Feed{Store: store, Log: log},
		&platform.Pool{Upstream: u},
		&platform.Directory{Store: store, Self: s.PeerAddr, Log: log},
	)
}

// reload reads the settings anew on SIGHUP and says what became of them.
func reload(ctx context.Context, file string, log *zap.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			if _, err := settings.LoadGateway(file); err != nil {
				log.Error("settings not reloaded", journal.Error(err))
				continue
			}
			log.Info("settings checked; changes take effect at the next start")
		}
	}
}
