package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/result"
)

// callCommand sends one request and prints its answer.
type callCommand struct {
	Hosts     []string      `long:"host" required:"yes" description:"IP number and port of a host for callers; may be given again, hosts are tried in order"`
	Workspace string        `long:"workspace" required:"yes" description:"workspace of the caller"`
	Pipeline  string        `long:"pipeline" required:"yes" description:"pipeline to call"`
	Token     string        `long:"token" env:"BERYLSWITCH_TOKEN" description:"token of the workspace"`
	Deadline  time.Duration `long:"deadline" default:"30s" description:"time for the request, repeats included"`
	Priority  *int          `long:"priority" description:"higher goes first"`
	Key       string        `long:"key" description:"idempotency key of a request that is sent again"`
	Once      bool          `long:"once" description:"make an idempotency key and print it before the request is sent"`
	Stream    bool          `long:"stream" description:"print the text as it comes"`
	JSON      bool          `long:"json" description:"print the whole answer as JSON"`
	Args      struct {
		Input string `positional-arg-name:"INPUT" description:"JSON input; - reads it from standard input" required:"yes"`
	} `positional-args:"yes"`

	ctx context.Context
	out io.Writer // nil means standard output
}

// Exit codes of the call command, by the class of the result code.
const (
	exitRequest = 3 // the request is at fault
	exitRefused = 4 // refused before anything ran
	exitMayRun  = 5 // the request may have run
	exitSystem  = 6 // the system is at fault
	exitLost    = 7 // no complete answer was received
)

// classSize is the number of result codes in one class.
const classSize = 100

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitCodeOf returns the exit code for an error of the client.
func exitCodeOf(err error) int {
	var known *result.Error
	var lost *caller.NoAnswerError
	switch {
	case errors.As(err, &known):
		return classExit(known.Code)
	case errors.As(err, &lost):
		return exitLost
	}
	return 1
}

// classExit returns the exit code for the class of a result code.
func classExit(code result.Code) int {
	switch code / classSize {
	case result.BadRequest / classSize:
		return exitRequest
	case result.Draining / classSize:
		return exitRefused
	case result.DeadlineExceeded / classSize:
		return exitMayRun
	}
	return exitSystem
}

// Execute runs the command.
func (c *callCommand) Execute([]string) error {
	if c.out == nil {
		c.out = os.Stdout
	}
	client, req, err := c.request()
	if err != nil {
		return err
	}
	var a *caller.Answer
	if c.Stream {
		a, err = client.Stream(c.ctx, req, c.print)
	} else {
		a, err = client.Call(c.ctx, req)
	}
	if a != nil {
		c.printAnswer(a)
	}
	if err != nil {
		return &exitError{exitCodeOf(err), err}
	}
	return nil
}

// request builds the client and the request from the flags.
func (c *callCommand) request() (*caller.Client, *caller.Request, error) {
	client := &caller.Client{Workspace: c.Workspace, Token: c.Token}
	for _, text := range c.Hosts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, nil, fmt.Errorf("--host %s: %w", text, err)
		}
		client.Hosts = append(client.Hosts, addr)
	}
	input := []byte(c.Args.Input)
	if c.Args.Input == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, nil, err
		}
		input = data
	}
	req := &caller.Request{Pipeline: c.Pipeline, Input: input, Deadline: c.Deadline, Priority: c.Priority, Key: c.Key}
	if c.Once && req.Key == "" {
		key, err := caller.NewKey()
		if err != nil {
			return nil, nil, err
		}
		req.Key = key
		fmt.Fprintln(os.Stderr, "key:", key)
	}
	return client, req, nil
}

func (c *callCommand) print(data string) error {
	_, err := io.WriteString(c.out, data)
	return err
}

// printAnswer prints the answer, or ends the line of a streamed text.
func (c *callCommand) printAnswer(a *caller.Answer) {
	switch {
	case c.JSON:
		enc := json.NewEncoder(c.out)
		enc.SetIndent("", "  ")
		enc.Encode(a)
	case c.Stream:
		fmt.Fprintln(c.out)
	case a.Code == result.OK:
		fmt.Fprintln(c.out, a.Output)
	}
}
