package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
)

// configShow prints the document in force, or one section as its owners wrote
// it.
type configShow struct {
	connectionFlags
	Section string `long:"section" description:"print this section alone, with its revision in the first line"`

	ctx context.Context
}

// Execute runs the command.
func (c *configShow) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	cc, err := c.follow(ctx)
	if err != nil {
		return err
	}
	s, err := cc.firstState(ctx)
	if err != nil {
		return err
	}
	if c.Section != "" {
		return showSection(s, c.Section)
	}
	fmt.Printf("// Offset %d, rule %d.\n{\"Sections\": {\n", s.Offset, s.Rule)
	for _, name := range s.Names() {
		e := s.Entry(name)
		// The comma is on its own line because the text may end with a comment.
		fmt.Printf("// %s is revision %d by %s (change %s).\n%q: %s\n,\n", name, e.Revision, e.Author, e.ChangeID, name, bytes.TrimSpace(e.Text))
	}
	fmt.Println("}}")
	return nil
}

func showSection(s *section.State, name string) error {
	e := s.Entry(name)
	if e == nil {
		return fmt.Errorf("no section %q is in force", name)
	}
	fmt.Printf("%s%d of %s by %s (change %s).\n%s\n", revisionPrefix, e.Revision, name, e.Author, e.ChangeID, bytes.TrimSpace(e.Text))
	return nil
}

// configStatus prints what is in force at the hosts given by the flags and at
// the hosts that they know.
type configStatus struct {
	connectionFlags
	ctx context.Context
}

// statusTimeout limits the status call to one host.
const statusTimeout = 2 * time.Second

// Execute runs the command.
func (c *configStatus) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	replies, err := c.collectStatus(ctx)
	if err != nil {
		return err
	}
	same := true
	fmt.Printf("%-24s %10s %6s %6s  %s\n", "HOST", "OFFSET", "RULE", "KNOWS", "STATE")
	for _, r := range replies {
		fmt.Printf("%-24s %10d %6d %6d  %s\n", r.Host, r.Offset, r.Rule, r.LatestRule, r.stateText())
		same = same && r.err == nil && !r.Stale && r.Offset == replies[0].Offset
	}
	if !same {
		return errors.New("not the same offset is in force at all hosts")
	}
	fmt.Printf("offset %d is in force at all %d hosts\n", replies[0].Offset, len(replies))
	return nil
}

// hostStatus is a host's reply, or the error of the call.
type hostStatus struct {
	section.StatusReply
	err error
}

func (s *hostStatus) stateText() string {
	switch {
	case s.err != nil:
		return s.err.Error()
	case s.Stale:
		return "stale"
	default:
		return "in force"
	}
}

// collectStatus calls the hosts given by the flags and, transitively, the peers
// that the replies list.
func (c *connectionFlags) collectStatus(ctx context.Context) ([]hostStatus, error) {
	hosts, err := c.hosts()
	if err == nil && len(hosts) == 0 {
		err = errNoHost
	}
	if err != nil {
		return nil, err
	}
	caller := &peer.Caller{Net: c.network()}
	defer caller.Close()
	known := map[string]bool{}
	var out []hostStatus
	for len(hosts) > 0 {
		h := hosts[0]
		hosts = hosts[1:]
		if known[h.Addr.String()] {
			continue
		}
		known[h.Addr.String()] = true
		s := fetchStatus(ctx, caller, h)
		hosts = append(hosts, s.Peers...)
		out = append(out, s)
	}
	return out, nil
}

func fetchStatus(ctx context.Context, caller *peer.Caller, h peer.Host) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply := &section.StatusReply{}
	if err := caller.Call(ctx, h.Addr, section.RPCName+".Status", &section.StatusArgs{}, reply); err != nil {
		return hostStatus{section.StatusReply{Host: h.Name}, err}
	}
	return hostStatus{StatusReply: *reply}
}

// configRule puts the next rule version into force once every host knows it.
type configRule struct {
	connectionFlags
	Args struct {
		Version int `positional-arg-name:"VERSION" required:"yes"`
	} `positional-args:"yes"`

	ctx context.Context
}

// Execute runs the command.
func (c *configRule) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	replies, err := c.collectStatus(ctx)
	if err != nil {
		return err
	}
	for _, r := range replies {
		if r.err != nil || r.LatestRule < c.Args.Version {
			return fmt.Errorf("host %s knows rules up to %d (%s); all hosts must know rule %d first", r.Host, r.LatestRule, r.stateText(), c.Args.Version)
		}
	}
	cc, err := c.follow(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(section.RuleChange{Version: c.Args.Version})
	if err != nil {
		return err
	}
	e := platform.Entry{ID: fmt.Sprintf("Rule-%d", c.Args.Version), Kind: section.RuleKind, Data: data}
	if _, err := cc.log.Append(ctx, platform.ConfigStream, []platform.Entry{e}); err != nil {
		return fmt.Errorf("%w; it is safe to repeat", err)
	}
	s, err := cc.waitForState(ctx, func(s *section.State) bool { return s.Rule >= c.Args.Version })
	if err != nil {
		return fmt.Errorf("rule %d is not in force: %w", c.Args.Version, err)
	}
	fmt.Printf("rule %d is in force\n", s.Rule)
	return nil
}
