package main

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/uuid"
)

// configPublish publishes a change of one section. It may be repeated with the
// same change ID: only the first copy on the stream counts.
type configPublish struct {
	connectionFlags
	Section  string `long:"section" required:"yes" description:"name of the section"`
	Base     string `long:"base" value-name:"REVISION" description:"revision that the text was made from, or Current; read from the first line that 'config show' writes if left out"`
	Author   string `long:"author" description:"author of the change; the user's name if left out"`
	KeyFile  string `long:"key" value-name:"FILE" description:"PEM file with the ed25519 private key that signs the change"`
	ChangeID string `long:"change-id" value-name:"ID" description:"ID of the change; a new one if left out"`
	Remove   bool   `long:"remove" description:"remove the section; takes no file"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`

	ctx context.Context
}

// Execute runs the command.
func (c *configPublish) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	cc, err := c.follow(ctx)
	if err != nil {
		return err
	}
	state, err := cc.firstState(ctx)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.Must(uuid.NewV7()).String()
	}
	if v := state.Verdict(c.ChangeID); v != nil {
		return c.printVerdict(v)
	}
	entry, base, err := c.entry(state)
	if err != nil {
		return err
	}
	fmt.Printf("publishing section %s, base %d, change %s\n", c.Section, base, c.ChangeID)
	v, err := cc.publish(ctx, entry)
	if err != nil {
		return &exitError{exitNoVerdict, fmt.Errorf("no verdict on change %s: %w; repeat with --change-id %s --base %d", c.ChangeID, err, c.ChangeID, base)}
	}
	return c.printVerdict(v)
}

// entry builds the stream entry of the change and returns it with the base
// revision.
func (c *configPublish) entry(state *section.State) (*platform.Entry, int64, error) {
	change := declaration.Change{RuleVersion: state.Rule, Section: c.Section, Author: c.author(), Removed: c.Remove}
	if !c.Remove {
		text, err := c.text(state.Rule)
		if err != nil {
			return nil, 0, err
		}
		change.Text = text
	}
	base, err := c.base(state, change.Text)
	if err != nil {
		return nil, 0, err
	}
	change.Base = base
	if c.KeyFile != "" {
		key, err := readKey(c.KeyFile)
		if err != nil {
			return nil, 0, err
		}
		change.Sign(c.ChangeID, key)
	}
	data, err := json.Marshal(&change)
	return &platform.Entry{ID: c.ChangeID, Kind: section.ChangeKind, Data: data}, base, err
}

func (c *configPublish) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// text reads the section. It fails on problems that can be found without the
// other sections.
func (c *configPublish) text(rule int) (declaration.Text, error) {
	if c.Args.File == "" {
		return nil, errors.New("FILE is missing")
	}
	part, problems, err := declaration.ReadSection(rule, c.Args.File, c.Section)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, &exitError{exitInvalid, fmt.Errorf("not published, %d problems\n%w", len(problems), problems)}
	}
	return part.Text, nil
}

// revisionPrefix begins the line that 'config show' writes above a section.
const revisionPrefix = "// Revision "

// currentBase is the value of --base for the revision in force.
const currentBase = "Current"

// base returns the revision that the text was made from.
func (c *configPublish) base(state *section.State, text declaration.Text) (int64, error) {
	now := int64(state.Revision(c.Section))
	if c.Base == currentBase {
		return now, nil
	}
	stated := c.Base
	if stated == "" {
		line, _, _ := strings.Cut(string(text), "\n")
		if rest, ok := strings.CutPrefix(line, revisionPrefix); ok {
			stated, _, _ = strings.Cut(rest, " ")
		}
	}
	if stated != "" {
		n, err := strconv.ParseInt(stated, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("base %q is not a revision number", stated)
		}
		return n, nil
	}
	e := state.Entry(c.Section)
	if e == nil {
		return now, nil
	}
	return 0, fmt.Errorf("state with --base which revision the text was made from; in force is %d by %s (change %s)", e.Revision, e.Author, e.ChangeID)
}

// readKey reads an ed25519 private key, PKCS #8 in PEM.
func readKey(file string) (ed25519.PrivateKey, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(src)
	if block == nil {
		return nil, fmt.Errorf("%s: no PEM block", file)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: must hold an ed25519 key, holds %T", file, key)
	}
	return private, nil
}

// verdictWait is the time to wait for a verdict before the change is appended
// again.
const verdictWait = 3 * time.Second

// publish appends e repeatedly until its verdict is read. Copies after the first
// have no effect.
func (cc *configClient) publish(ctx context.Context, e *platform.Entry) (*declaration.Verdict, error) {
	for {
		_, appendErr := cc.log.Append(ctx, platform.ConfigStream, []platform.Entry{*e})
		wait, cancel := context.WithTimeout(ctx, verdictWait)
		s, err := cc.waitForState(wait, func(s *section.State) bool { return s.Verdict(e.ID) != nil })
		cancel()
		if err == nil {
			return s.Verdict(e.ID), nil
		}
		if ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), appendErr)
		}
	}
}

// printVerdict prints the verdict and returns its exit code as an error.
func (c *configPublish) printVerdict(v *declaration.Verdict) error {
	switch v.Kind {
	case declaration.Accepted:
		fmt.Printf("accepted: section %s has revision %d\n", v.Section, v.Revision)
		return nil
	case declaration.Overtaken:
		return &exitError{exitOvertaken, fmt.Errorf("overtaken by %s (change %s): section %s has revision %d; look at 'config show --section %s' and publish again from there", v.By, v.ByChange, v.Section, v.Revision, v.Section)}
	case declaration.Invalid:
		return &exitError{exitInvalid, fmt.Errorf("invalid: nothing changed\n%s", strings.Join(v.Reasons, "\n"))}
	default:
		panic("unexpected verdict " + string(v.Kind))
	}
}
