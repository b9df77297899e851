// Package declaration defines the document in which operators declare
// pipelines, workspaces, stage pools and targets. The document is JSON with
// comments. It is divided into named sections that different teams own. Names
// of each kind of object are unique over all sections, and a section may refer
// to objects that another one declares.
//
// A Document holds the sections; a View indexes a valid document for lookups. A
// Change proposes a new text of one section and a Verdict is its result. Source
// parses and decodes a text and collects its Problems.
package declaration

import (
	"fmt"
	"net/netip"
	"time"
)

// Document is the whole declaration, keyed by section name.
type Document struct {
	Sections map[string]Section
}

// Section is the part of the document that one team owns.
type Section struct {
	// Owners are people or teams, to be named in messages.
	Owners []string `json:",omitempty"`
	// Keys are ed25519 public keys in base64. A change to this section must be
	// signed by one of them; without keys no signature is required.
	Keys       []string    `json:",omitempty"`
	Pipelines  []Pipeline  `json:",omitempty"`
	Workspaces []Workspace `json:",omitempty"`
	Pools      []Pool      `json:",omitempty"`
	Targets    []Target    `json:",omitempty"`
}

// Pipeline is a sequence of stages that share one deadline.
type Pipeline struct {
	Name string
	// Deadline is the time allowed for the whole pipeline if the caller sets none.
	Deadline Duration
	// Priority is the default priority; higher goes first.
	Priority int `json:",omitempty"`
	// Objective is the fraction of requests that must be answered in time.
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
	// TokenSHA256 is the hex SHA-256 digest of the token that callers present. An
	// empty digest admits every caller.
	TokenSHA256 string `json:",omitempty"`
	// Share is the weight of the workspace when capacity is short; zero means one.
	Share float64 `json:",omitempty"`
	// Pipelines lists the pipelines that the workspace may call; empty means all.
	Pipelines []string `json:",omitempty"`
	// MaxPriority bounds the priority that callers may request.
	MaxPriority int `json:",omitempty"`
}

// Pool is a set of targets that serve one kind of stage.
type Pool struct {
	Name string
	// NonIdempotent marks a pool whose runs must not be repeated.
	NonIdempotent bool `json:",omitempty"`
}

// Target describes one back end.
type Target struct {
	Name   string
	Pool   string
	Addr   netip.AddrPort
	Domain string
	// Region is the region that contains Domain; it matters only once there are
	// several regions.
	Region string `json:",omitempty" since:"2"`
	// Slots is the number of runs that the target accepts concurrently.
	Slots  int
	Models []string `json:",omitempty"`
	// AskByKey marks a target that can be asked whether an idempotency key ran.
	AskByKey bool `json:",omitempty"`
	// ChecksFencing marks a target that rejects orders with an old fencing number.
	ChecksFencing bool `json:",omitempty"`
	// Leaving marks a target that gets no new work.
	Leaving bool `json:",omitempty"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText formats d as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}
