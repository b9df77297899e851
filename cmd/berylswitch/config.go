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

// configCommand groups the subcommands on the declared document.
type configCommand struct {
	Check   configCheck   `command:"check" description:"Find every fault of documents or sections in files"`
	Publish configPublish `command:"publish" description:"Publish a section and wait for the verdict"`
	Restore configRestore `command:"restore" description:"Begin anew from files after the log has lost the document"`
	Rule    configRule    `command:"rule" description:"Bring the next rule version into force"`
	Show    configShow    `command:"show" description:"Print the document in force"`
	Status  configStatus  `command:"status" description:"Print the offset in force at each host"`
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
	// exitNoVerdict says that the change may be accepted yet.
	exitNoVerdict = 5
)

// connection says how a command reaches log and hosts.
type connection struct {
	Log     string        `long:"log" value-name:"ADDR" description:"IP number and port of the log service"`
	Hosts   []string      `long:"host" value-name:"ADDR" description:"IP number and port at which a host serves its peers; may be repeated"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"time after which to give up"`
	Cert    string        `long:"tls-cert" value-name:"FILE" description:"PEM file with the operator's certificate"`
	Key     string        `long:"tls-key" value-name:"FILE" description:"PEM file with its private key"`
	CA      string        `long:"tls-ca" value-name:"FILE" description:"PEM file with the certificates to trust"`
}

func (c *connection) network() link.Network {
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
func (c *connection) client() (*platform.Client, error) {
	if c.Log == "" {
		return nil, errNoLog
	}
	addr, err := netip.ParseAddrPort(c.Log)
	if err != nil {
		return nil, fmt.Errorf("--log: %w", err)
	}
	return platform.NewClient(c.network(), addr, addr), nil
}

// hosts returns the hosts that the flags name.
func (c *connection) hosts() ([]peer.Host, error) {
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

// noLog is the log of a command that asks hosts alone.
type noLog struct{}

// Append refuses.
func (noLog) Append(context.Context, string, []platform.Entry) (platform.Offset, error) {
	return 0, &platform.RefusedError{Reason: errNoLog.Error()}
}

// Read refuses.
func (noLog) Read(context.Context, string, platform.Offset, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, &platform.RefusedError{Reason: errNoLog.Error()}
}

// given lists the hosts of the flags as members.
type given []peer.Host

// Members returns the hosts.
func (g given) Members() *peer.Members { return peer.NewMembers(g) }

// operator follows the stream as a host does, but writes nothing.
type operator struct {
	log      platform.Log
	follower *section.Follower
	states   chan struct{} // holds one token after a new state
}

// follow starts an operator that runs until ctx ends.
func (c *connection) follow(ctx context.Context) (*operator, error) {
	hosts, err := c.hosts()
	if err != nil {
		return nil, err
	}
	o := &operator{log: noLog{}, states: make(chan struct{}, 1)}
	if c.Log != "" || len(hosts) == 0 {
		client, err := c.client()
		if err != nil {
			return nil, err
		}
		o.log = client
	}
	o.follower = &section.Follower{Log: o.log, Clock: &clock.Service{}, OnState: func(*section.State) {
		select {
		case o.states <- struct{}{}:
		default:
		}
	}}
	if len(hosts) > 0 {
		o.follower.Members, o.follower.Caller = given(hosts), &peer.Caller{Net: c.network()}
	}
	go o.follower.Run(ctx)
	return o, nil
}

// state waits for a state that is wanted.
func (o *operator) state(ctx context.Context, wanted func(*section.State) bool) (*section.State, error) {
	for {
		if s := o.follower.State(); s != nil && wanted(s) {
			return s, nil
		}
		select {
		case <-o.states:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// first waits for the first state.
func (o *operator) first(ctx context.Context) (*section.State, error) {
	s, err := o.state(ctx, func(*section.State) bool { return true })
	if err != nil {
		return nil, fmt.Errorf("no configuration to be had from log or hosts: %w", err)
	}
	return s, nil
}
