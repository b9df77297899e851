package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/report"
)

// reportCommand prints the service levels that hosts report.
type reportCommand struct {
	Hosts  []string `long:"host" description:"caller address of a host, such as 10.0.0.1:8080; repeat for more" required:"yes"`
	Format string   `long:"format" description:"form of the report" choice:"text" choice:"json" choice:"html" default:"text"`
	Out    string   `long:"out" description:"file to write instead of the standard output"`
	// Strict makes the command fail on an alert or a silent host, for use in
	// scripts.
	Strict bool `long:"strict" description:"exit with 1 when a page is due or a host is silent"`

	ctx context.Context
}

// Execute runs the command.
func (c *reportCommand) Execute([]string) error {
	var hosts []netip.AddrPort
	for _, text := range c.Hosts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("--host: %w", err)
		}
		hosts = append(hosts, addr)
	}
	s, err := report.Collect(c.ctx, &http.Client{Transport: link.Transport(link.TCP{})}, hosts)
	if err != nil {
		return err
	}
	if err := c.write(s); err != nil {
		return err
	}
	if c.Strict {
		return strictError(s)
	}
	return nil
}

func (c *reportCommand) write(s *report.Summary) error {
	if c.Out == "" {
		return writeReport(os.Stdout, c.Format, s)
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := writeReport(f, c.Format, s); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func writeReport(w io.Writer, format string, s *report.Summary) error {
	switch format {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(s)
	case "html":
		return report.WritePage(w, s)
	default:
		return report.WriteText(w, s)
	}
}

// strictError returns the first reason to fail under --strict, or nil.
func strictError(s *report.Summary) error {
	if len(s.Silent) > 0 {
		return fmt.Errorf("no report from %v", s.Silent)
	}
	for i := range s.Levels {
		l := &s.Levels[i]
		if l.Alert == report.FastPage || l.Alert == report.SlowPage {
			return fmt.Errorf("%s at %s: %s", l.Workspace, l.Pipeline, l.Alert)
		}
	}
	return nil
}
