package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/host"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"go.uber.org/zap"
)

// tryCommand is the embedded first run: stand-ins and two hosts on loopback.
type tryCommand struct {
	ctx context.Context
}

// loopback asks the machine for any free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// tryTimeout bounds the whole run.
const tryTimeout = 10 * time.Second

// Execute runs the command.
func (c *tryCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, tryTimeout)
	defer cancel()
	logAddr, err := serveStandin(&standin.Log{})
	if err != nil {
		return err
	}
	section, err := trySection()
	if err != nil {
		return err
	}
	if err := publish(ctx, logAddr, "Try", section); err != nil {
		return err
	}
	hosts, err := startHosts(ctx, logAddr)
	if err != nil {
		return err
	}
	return tryCall(ctx, hosts[0])
}

// serveStandin serves h on a free port of loopback.
func serveStandin(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	go http.Serve(l, h)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func trySection() (*declaration.Section, error) {
	s := &declaration.Section{
		Workspaces: []declaration.Workspace{{Name: "Demo"}},
		Pipelines:  []declaration.Pipeline{{Name: "Menu", Deadline: declaration.Duration(2 * time.Second)}},
	}
	for _, pool := range []string{"Encode", "Retrieve", "Generate"} {
		s.Pools = append(s.Pools, declaration.Pool{Name: pool})
		s.Pipelines[0].Stages = append(s.Pipelines[0].Stages, declaration.Stage{Name: pool, Pool: pool})
		addr, err := serveStandin(&standin.Worker{Name: pool + "-1", Speed: 1, Slots: 4})
		if err != nil {
			return nil, err
		}
		s.Targets = append(s.Targets, declaration.Target{Name: pool + "-1", Pool: pool, Addr: addr, Slots: 4})
	}
	return s, nil
}

func publish(ctx context.Context, logAddr netip.AddrPort, name string, s *declaration.Section) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	data, err := json.Marshal(declaration.Change{RuleVersion: 1, Section: name, Author: "try", Text: text})
	if err != nil {
		return err
	}
	client := platform.NewClient(link.TCP{}, logAddr, logAddr)
	_, err = client.Append(ctx, platform.ConfigStream, []platform.Entry{{ID: "try-1", Kind: section.ChangeKind, Data: data}})
	return err
}

// freeAddr returns an address that was free a moment ago.
func freeAddr() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func startHosts(ctx context.Context, logAddr netip.AddrPort) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, name := range []string{"host-1", "host-2"} {
		callers, err := freeAddr()
		if err != nil {
			return nil, err
		}
		peers, err := freeAddr()
		if err != nil {
			return nil, err
		}
		s := &settings.Settings{Name: name, CallerAddr: callers, PeerAddr: peers, LogAddr: logAddr}
		s.SetDefaults()
		h, err := host.New(s, link.TCP{}, &clock.Service{}, zap.NewNop())
		if err != nil {
			return nil, err
		}
		go h.Run(ctx)
		out = append(out, callers)
	}
	return out, waitReady(ctx, out)
}

// readyPoll is the time between two looks at a host that is not ready.
const readyPoll = 20 * time.Millisecond

func waitReady(ctx context.Context, hosts []netip.AddrPort) error {
	var c clock.Service
	for _, addr := range hosts {
		for {
			resp, err := http.Get("http://" + addr.String() + "/v1/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if err := c.Sleep(ctx, readyPoll); err != nil {
				return fmt.Errorf("host %s is not ready: %w", addr, err)
			}
		}
	}
	return nil
}

func tryCall(ctx context.Context, addr netip.AddrPort) error {
	url := "http://" + addr.String() + "/v1/workspaces/Demo/pipelines/Menu"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"Text": "lunch", "Service": 1000000}`))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var a caller.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return err
	}
	fmt.Printf("%d %s: %s\n", int(a.Code), a.Name, a.Output)
	for _, s := range a.Stages {
		fmt.Printf("  %-10s %-12s %v\n", s.Stage, s.Target, s.Cost)
	}
	return nil
}
