package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/command"
	"berylswitch.example/berylswitch/internal/gateway"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/upstream"
	"berylswitch.example/berylswitch/platform"
	"go.uber.org/zap"
)

// gatewayCommand runs a host on the users' platform until SIGINT or SIGTERM.
type gatewayCommand struct {
	Check    bool   `long:"check" description:"check the settings and exit"`
	Settings string `long:"settings" description:"the settings file, JSON with comments; by default the one that the platform names"`

	ctx context.Context
}

// Execute runs the command.
func (c *gatewayCommand) Execute([]string) error {
	if c.Settings == "" {
		path, err := platform.SettingsPath()
		if err != nil {
			return err
		}
		c.Settings = path
	}
	s, err := settings.LoadGateway(c.Settings)
	if err != nil || c.Check {
		return err
	}
	command.TuneCollector(s.SoftMemoryBytes())
	out := journal.NewWriter(os.Stdout)
	log := journal.NewLogger(out).With(zap.String("Host", s.Name))
	defer out.Close()
	h, err := newGateway(s, log)
	if err != nil {
		return err
	}
	go reload(c.ctx, c.Settings, h)
	return h.Run(c.ctx)
}

// newGateway returns a host with the components of the platform adapter.
func newGateway(s *settings.Gateway, log *zap.Logger) (*gateway.Host, error) {
	n, c := link.TCP{}, &clock.Service{}
	store := platform.NewStore(n, s.StoreAddr)
	u := &upstream.Client{Net: n, Clock: c}
	return gateway.New(s, n, c, log, u,
		platform.Format{},
		&platform.Feed{Store: store, Log: log},
		&platform.Pool{Upstream: u},
		&platform.Directory{Store: store, Self: s.PeerAddr, Log: log},
		&platform.Archive{Store: store},
	)
}

// settingsPollInterval is the time between two checks for a change of the
// settings file; the platform need not send a signal.
const settingsPollInterval = 2 * time.Second

// reload rereads the settings on SIGHUP and when their file has changed.
func reload(ctx context.Context, file string, h *gateway.Host) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	ticks := h.Clock.Subscribe(ctx, settingsPollInterval)
	last := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if modTime(file).Equal(last) {
				continue
			}
		case <-hups:
		}
		last = modTime(file)
		s, err := settings.LoadGateway(file)
		if err != nil {
			h.Log.Error("settings not reloaded, the previous ones stay in force", journal.Error(err))
			continue
		}
		h.Reload(s)
	}
}

// modTime returns the modification time of the file, or zero if it is unknown.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
