package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
)

// configCommand groups the subcommands that work on the declared document.
type configCommand struct {
	Check         configCheck         `command:"check" description:"Find every fault of documents or sections in files"`
	CheckPlatform configCheckPlatform `command:"check-platform" description:"Find errors, warnings and changes of a configuration of the users' platform"`
	Publish       configPublish       `command:"publish" description:"Publish a section and wait for the verdict"`
	Restore       configRestore       `command:"restore" description:"Begin anew from files after the log has lost the document"`
	Rule          configRule          `command:"rule" description:"Bring the next rule version into force"`
	Show          configShow          `command:"show" description:"Print the document in force"`
	Status        configStatus        `command:"status" description:"Print the offset in force at each host"`
}

// newConfigCommand returns the command with its context set.
func newConfigCommand(ctx context.Context) *configCommand {
	c := &configCommand{}
	c.Publish.ctx, c.Restore.ctx, c.Rule.ctx, c.Show.ctx, c.Status.ctx = ctx, ctx, ctx, ctx, ctx
	return c
}

// Exit codes of the config commands besides 0, 1 and exitUsage.
const (
	exitOvertaken = 3
	exitInvalid   = 4
	// exitNoVerdict means that the change may still be accepted.
	exitNoVerdict = 5
)

// connectionFlags are the flags with which a command reaches the log and hosts.
type connectionFlags struct {
	Log     string        `long:"log" value-name:"ADDR" description:"IP number and port of the log service"`
	Hosts   []string      `long:"host" value-name:"ADDR" description:"IP number and port at which a host serves its peers; may be repeated"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"time after which to give up"`
	Cert    string        `long:"tls-cert" value-name:"FILE" description:"PEM file with the operator's certificate"`
	Key     string        `long:"tls-key" value-name:"FILE" description:"PEM file with its private key"`
	CA      string        `long:"tls-ca" value-name:"FILE" description:"PEM file with the certificates to trust"`
}

func (c *connectionFlags) network() link.Network {
	if c.Cert == "" {
		return link.TCP{}
	}
	return &link.TLS{Network: link.TCP{}, CertFile: c.Cert, KeyFile: c.Key, CAFile: c.CA}
}

var (
	errNoLog  = errors.New("--log is missing: the address of the log service")
	errNoHost = errors.New("--host is missing: the address at which a host serves its peers")
)

// client returns a client of the log.
func (c *connectionFlags) client() (*platform.Client, error) {
	if c.Log == "" {
		return nil, errNoLog
	}
	addr, err := netip.ParseAddrPort(c.Log)
	if err != nil {
		return nil, fmt.Errorf("--log: %w", err)
	}
	return platform.NewClient(c.network(), addr, addr), nil
}

// hosts returns the hosts given by the flags.
func (c *connectionFlags) hosts() ([]peer.Host, error) {
	var out []peer.Host
	for _, text := range c.Hosts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--host: %w", err)
		}
		out = append(out, peer.Host{Name: text, Addr: addr})
	}
	return out, nil
}

// noLog is the log of a command that connects only to hosts.
type noLog struct{}

// Append returns a refusal.
func (noLog) Append(context.Context, string, []platform.Entry) (platform.Offset, error) {
	return 0, &platform.RefusedError{Reason: errNoLog.Error()}
}

// Read returns a refusal.
func (noLog) Read(context.Context, string, platform.Offset, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, &platform.RefusedError{Reason: errNoLog.Error()}
}

// staticMembers is the fixed list of hosts given by the flags.
type staticMembers []peer.Host

// Members returns the hosts.
func (m staticMembers) Members() *peer.Members { return peer.NewMembers(m) }

// configClient follows the configuration stream as a host does, but writes
// nothing to it by itself.
type configClient struct {
	log          platform.Log
	follower     *section.Follower
	stateChanged chan struct{} // holds one token after a state change
}

// follow starts a configClient that runs until ctx is done.
func (c *connectionFlags) follow(ctx context.Context) (*configClient, error) {
	hosts, err := c.hosts()
	if err != nil {
		return nil, err
	}
	cc := &configClient{log: noLog{}, stateChanged: make(chan struct{}, 1)}
	if c.Log != "" || len(hosts) == 0 {
		client, err := c.client()
		if err != nil {
			return nil, err
		}
		cc.log = client
	}
	cc.follower = &section.Follower{Log: cc.log, Clock: &clock.Service{}, OnState: func(*section.State) {
		select {
		case cc.stateChanged <- struct{}{}:
		default:
		}
	}}
	if len(hosts) > 0 {
		cc.follower.Members, cc.follower.Caller = staticMembers(hosts), &peer.Caller{Net: c.network()}
	}
	go cc.follower.Run(ctx)
	return cc, nil
}

// waitForState waits for a state for which wanted returns true.
func (cc *configClient) waitForState(ctx context.Context, wanted func(*section.State) bool) (*section.State, error) {
	for {
		if s := cc.follower.State(); s != nil && wanted(s) {
			return s, nil
		}
		select {
		case <-cc.stateChanged:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// firstState waits for the first state.
func (cc *configClient) firstState(ctx context.Context) (*section.State, error) {
	s, err := cc.waitForState(ctx, func(*section.State) bool { return true })
	if err != nil {
		return nil, fmt.Errorf("no configuration available from log or hosts: %w", err)
	}
	return s, nil
}
