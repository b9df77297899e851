package main

import (
	"os"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/command"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/settings"
	"go.uber.org/zap"
)

// serveCommand runs a host until SIGINT or SIGTERM.
type serveCommand struct {
	Check bool `long:"check" description:"check the settings and exit"`
	Args  struct {
		Settings string `positional-arg-name:"SETTINGS" required:"yes"`
	} `positional-args:"yes"`

	signals command.Signals
}

func (*serveCommand) isServer() {}

// Execute runs the command.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Args.Settings)
	if err != nil || c.Check {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer log.Sync()
	command.TuneCollector(host.SoftMemoryBytes)
	h, err := host.New(s, link.TCP{ReceiveBuffer: settings.ServeReceiveBuffer}, &clock.Service{}, log.With(zap.String("Host", s.Name)))
	if err != nil {
		return err
	}
	go logHangups(c.signals.Reload, h.Log)
	return h.Run(c.signals.Stop)
}

// logHangups logs each SIGHUP until the process exits.
func logHangups(hangups <-chan os.Signal, log *zap.Logger) {
	for range hangups {
		log.Warn("SIGHUP ignored, settings are read at the start")
	}
}
