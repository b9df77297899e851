package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/uuid"
)

// configRestore writes the document from files again after the log's retention
// has removed it, because no host ran, or none could write, for that long.
type configRestore struct {
	connectionFlags
	Author string `long:"author" required:"yes" description:"who restores"`
	Rule   int    `long:"rule" default:"1" description:"rule version that was in force"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	ctx context.Context
}

// readTimeout is the time within which a document that the log or a host still
// has would have been read.
const readTimeout = 5 * time.Second

var errNotLost = errors.New("the document is not lost; publish changes to it")

// Execute runs the command.
func (c *configRestore) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	files, problems, err := declaration.ReadFiles(c.Rule, c.Args.Files...)
	if err == nil && len(problems) > 0 {
		err = problems
	}
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := c.checkLost(ctx); err != nil {
		return err
	}
	batch, err := client.Read(ctx, platform.ConfigStream, 1, 0)
	if err != nil {
		return err
	}
	entry, err := c.entry(files, batch.Next-1)
	if err != nil {
		return err
	}
	if _, err := client.Append(ctx, platform.ConfigStream, []platform.Entry{*entry}); err != nil {
		return err
	}
	fmt.Printf("restored %d sections, each at revision %d\n", len(files.SectionTexts), batch.Next-1)
	return nil
}

// checkLost fails if the document can still be read from the log or from the
// hosts given by the flags.
func (c *configRestore) checkLost(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	cc, err := c.follow(ctx)
	if err != nil {
		return err
	}
	if _, err := cc.firstState(ctx); err == nil {
		return errNotLost
	}
	return nil
}

// entry builds the snapshot that covers everything up to an offset. Its floor
// makes every earlier change overtaken.
func (c *configRestore) entry(files *declaration.Files, covers platform.Offset) (*platform.Entry, error) {
	id := uuid.Must(uuid.NewV7()).String()
	s := section.Snapshot{Covers: covers, Rule: c.Rule, Floor: covers}
	for _, name := range files.Names() {
		s.Sections = append(s.Sections, section.SnapshotSection{
			Name: name, Revision: covers, Author: c.Author, ChangeID: id, Text: files.SectionTexts[name].Text,
		})
	}
	data, err := json.Marshal(&s)
	return &platform.Entry{ID: id, Kind: section.SnapshotKind, Data: data}, err
}
