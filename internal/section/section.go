// Package section folds the Config stream into the document in force. Every
// host that has read the same records holds the same document.
package section

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// ChangeKind is the kind of the records that carry a declaration.Change.
const ChangeKind = "Change"

// State is the document in force after the records up to Offset. It is
// immutable.
type State struct {
	Offset    platform.Offset
	Revisions map[string]platform.Offset
	Document  *declaration.Document
	View      *declaration.View
}

// Follower keeps the state by reading the Config stream. Exported fields are
// set before Run.
type Follower struct {
	Log   platform.Log
	Clock *clock.Service
	// OnState is called with each new state, in order, by one goroutine.
	OnState func(*State)

	state atomic.Pointer[State]
}

// readWait is how long one read of the log waits for a record, readPause the
// time between reads that failed.
const (
	readWait  = 10 * time.Second
	readPause = 500 * time.Millisecond
)

// State returns the state in force, or nil before the first.
func (f *Follower) State() *State { return f.state.Load() }

// Run reads the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	next := platform.Offset(1)
	doc := &declaration.Document{Sections: map[string]declaration.Section{}}
	revisions := map[string]platform.Offset{}
	for ctx.Err() == nil {
		batch, err := f.Log.Read(ctx, platform.ConfigStream, next, readWait)
		if err != nil {
			f.Clock.Sleep(ctx, readPause)
			continue
		}
		for _, r := range batch.Records {
			apply(doc, revisions, r)
			next = r.Offset + 1
		}
		if len(batch.Records) > 0 || f.State() == nil {
			f.publish(doc, revisions, next-1)
		}
	}
	return ctx.Err()
}

func apply(doc *declaration.Document, revisions map[string]platform.Offset, r platform.Record) {
	var c declaration.Change
	if json.Unmarshal(r.Data, &c) != nil || c.Base != int64(revisions[c.Section]) {
		return
	}
	var s declaration.Section
	if json.Unmarshal(c.Text, &s) != nil {
		return
	}
	doc.Sections[c.Section] = s
	revisions[c.Section] = r.Offset
}

func (f *Follower) publish(doc *declaration.Document, revisions map[string]platform.Offset, at platform.Offset) {
	s := &State{Offset: at, Revisions: map[string]platform.Offset{}, Document: &declaration.Document{Sections: map[string]declaration.Section{}}}
	for name, sec := range doc.Sections {
		s.Document.Sections[name] = sec
	}
	for name, rev := range revisions {
		s.Revisions[name] = rev
	}
	s.View = declaration.NewView(s.Document)
	f.state.Store(s)
	if f.OnState != nil {
		f.OnState(s)
	}
}
