// Package declaration defines the document in which operators declare
// pipelines, workspaces, stage pools and targets. The document is JSON with
// comments. It is cut into named sections that different teams own; names of
// things are unique over all sections, and a section may refer to things that
// another one declares.
package declaration

import (
	"fmt"
	"net/netip"
	"time"
)

// Document is the whole declaration by section name.
type Document struct {
	Sections map[string]Section
}

// Section is the part of the document that one team owns.
type Section struct {
	// Owners are people or teams, for messages.
	Owners []string `json:",omitempty"`
	// Keys are the ed25519 public keys, in base64, of which one must have signed
	// a change to this section. Without keys no signature is asked for.
	Keys       []string    `json:",omitempty"`
	Pipelines  []Pipeline  `json:",omitempty"`
	Workspaces []Workspace `json:",omitempty"`
	Pools      []Pool      `json:",omitempty"`
	Targets    []Target    `json:",omitempty"`
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Name string
	// Deadline is the time for the whole pipeline when the caller states none.
	Deadline Duration
	// Priority is the default; higher goes first.
	Priority int `json:",omitempty"`
	// Objective is the share of requests that must be answered in time.
	Objective float64 `json:",omitempty"`
	Stages    []Stage
}

// Stage is one step of a pipeline, run by one target of a pool.
type Stage struct {
	Name  string
	Pool  string
	Model string `json:",omitempty"`
}

// Workspace is a customer's account.
type Workspace struct {
	Name string
	// TokenSHA256 is the hex digest of the token that callers present. An empty
	// digest admits every caller.
	TokenSHA256 string `json:",omitempty"`
	// Share is the weight of the workspace when capacity is short; zero is one.
	Share float64 `json:",omitempty"`
	// Pipelines lists what the workspace may call; empty means all.
	Pipelines []string `json:",omitempty"`
	// MaxPriority bounds the priority that callers may ask for.
	MaxPriority int `json:",omitempty"`
}

// Pool is a set of targets that serve one kind of stage.
type Pool struct {
	Name string
	// NonIdempotent says that a run of this pool may not be repeated.
	NonIdempotent bool `json:",omitempty"`
}

// Target is the contract with one back end.
type Target struct {
	Name   string
	Pool   string
	Addr   netip.AddrPort
	Domain string
	// Region holds the domain; it matters once there are several.
	Region string `json:",omitempty" since:"2"`
	// Slots is the number of runs that the target takes at once.
	Slots  int
	Models []string `json:",omitempty"`
	// AskByKey says that the target can be asked whether a key ran.
	AskByKey bool `json:",omitempty"`
	// ChecksFencing says that the target refuses orders with an old number.
	ChecksFencing bool `json:",omitempty"`
	// Leaving says that the target gets no new work.
	Leaving bool `json:",omitempty"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes d as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}
