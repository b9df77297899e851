package main

import (
	"fmt"
	"io"
	"os"

	"berylswitch.example/berylswitch/internal/journal"
)

// explainCommand prints the timeline of one request from the logs of hosts.
type explainCommand struct {
	JSON bool `long:"json" description:"write JSON instead of text"`
	Args struct {
		RequestID string   `positional-arg-name:"REQUEST" required:"yes" description:"the id of the request"`
		Files     []string `positional-arg-name:"FILE" description:"logs; standard input without any"`
	} `positional-args:"yes"`
}

// Execute runs the command. It fails if no line belongs to the request.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	t := journal.NewTimeline(c.Args.RequestID, lines)
	if err := t.Unknown(); err != nil {
		return err
	}
	if c.JSON {
		return t.WriteJSON(os.Stdout)
	}
	return t.WriteText(os.Stdout)
}

// read reads all files, or standard input if there are none.
func (c *explainCommand) read() ([]journal.Line, error) {
	if len(c.Args.Files) == 0 {
		return readLog("standard input", os.Stdin)
	}
	var all []journal.Line
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(name, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string, r io.Reader) ([]journal.Line, error) {
	lines, skipped, err := journal.ReadLines(r)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines\n", name, skipped)
	}
	return lines, nil
}
