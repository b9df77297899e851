package main

import (
	"context"
	"os"
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

	signals command.Signals
}

func (*gatewayCommand) isServer() {}

// Execute runs the command.
func (c *gatewayCommand) Execute([]string) error {
	if c.Settings == "" {
		path, err := platform.SettingsPath()
		if err != nil {
			return err
		}
		c.Settings = path
	}
	// The file may change while it is read; reload then reads it again.
	modified := modTime(c.Settings)
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
	r := &reloader{File: c.Settings, ModTime: modified, Hangups: c.signals.Reload, Host: h}
	go r.run()
	return h.Run(c.signals.Stop)
}

// newGateway returns a host with the components of the platform adapter.
func newGateway(s *settings.Gateway, log *zap.Logger) (*gateway.Host, error) {
	n, c := link.TCP{ReceiveBuffer: settings.CallerReceiveBuffer}, &clock.Service{}
	targets := link.TCP{ReceiveBuffer: settings.TargetReceiveBuffer}
	store := platform.NewStore(targets, s.StoreAddr)
	u := &upstream.Client{Net: targets, Clock: c}
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

// reloader reads the settings again on SIGHUP and when their file has changed.
type reloader struct {
	File string
	// ModTime is the modification time of the file that was read last.
	ModTime time.Time
	Hangups <-chan os.Signal
	Host    *gateway.Host
}

// run reloads the settings until the process exits: a host that drains may still be
// told of changes.
func (r *reloader) run() {
	ticks := r.Host.Clock.Subscribe(context.Background(), settingsPollInterval)
	for {
		select {
		case <-ticks:
			if modTime(r.File).Equal(r.ModTime) {
				continue
			}
		case <-r.Hangups:
		}
		r.reload()
	}
}

// reload applies the settings in the file, unless they are invalid.
func (r *reloader) reload() {
	r.ModTime = modTime(r.File)
	s, err := settings.LoadGateway(r.File)
	if err != nil {
		r.Host.Log.Error("settings not reloaded, the previous ones stay in force", journal.Error(err))
		return
	}
	r.Host.Reload(s)
}

// modTime returns the modification time of the file, or zero if it is unknown.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
