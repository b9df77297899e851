package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"berylswitch.example/berylswitch/internal/backpressure"
	"berylswitch.example/berylswitch/internal/catalog"
	"berylswitch.example/berylswitch/internal/stage"
)

// testFeed is a catalog.Feed with one configuration, its targets and the evacuations
// that the test makes. ReadTable fails while down is set.
type testFeed struct {
	table   *catalog.Table
	targets []catalog.TargetChange
	down    atomic.Bool

	mu          sync.Mutex
	evacuations []catalog.EvacuationChange
	// later holds the changes of targets that were written since the start.
	later []catalog.TargetChange
	// changed is closed at the next change of either kind.
	changed chan struct{}
}

// evacuate evacuates a failure domain or, without evacuated, puts it back into service.
func (f *testFeed) evacuate(domain string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations = append(f.evacuations, catalog.EvacuationChange{Domain: domain, Evacuated: evacuated, Offset: catalog.Offset(1 + len(f.evacuations))})
	f.wakeReads()
}

// write writes a change of a target, which waiting reads return at once.
func (f *testFeed) write(c catalog.TargetChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Offset = catalog.Offset(1 + len(f.later))
	f.later = append(f.later, c)
	f.wakeReads()
}

// wakeReads ends the reads that wait; f.mu is held.
func (f *testFeed) wakeReads() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change; f.mu is held.
func (f *testFeed) nextChange() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// newer returns the evacuations from an offset on, after the configuration, and a
// channel that is closed at the next change.
func (f *testFeed) newer(from catalog.Offset) (catalog.TableUpdate, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := catalog.TableUpdate{Next: catalog.Offset(1 + len(f.evacuations))}
	u.Evacuations = append(u.Evacuations, f.evacuations[max(0, from-1):]...)
	return u, f.nextChange()
}

// laterThan returns the changes of targets from an offset on, the next offset, and a
// channel that is closed at the next change.
func (f *testFeed) laterThan(from catalog.Offset) ([]catalog.TargetChange, catalog.Offset, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.later[from-1:]), catalog.Offset(1 + len(f.later)), f.nextChange()
}

var errDown = errors.New("down")

func (f *testFeed) ReadTable(ctx context.Context, from catalog.Position, wait time.Duration) (catalog.TableUpdate, error) {
	if f.down.Load() {
		return catalog.TableUpdate{}, errDown
	}
	if from.Offset == catalog.Start {
		// Each host indexes its own copy.
		table := *f.table
		u, _ := f.newer(from.Offset)
		u.Full, u.Table = true, &table
		return u, nil
	}
	u, changed := f.newer(from.Offset)
	if len(u.Evacuations) > 0 {
		return u, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return catalog.TableUpdate{}, ctx.Err()
	}
	u, _ = f.newer(from.Offset)
	return u, nil
}

func (f *testFeed) ReadTargets(ctx context.Context, from catalog.Position, wait time.Duration) (catalog.TargetsUpdate, error) {
	if from.Offset == catalog.Start {
		later, next, _ := f.laterThan(1)
		return catalog.TargetsUpdate{Full: true, Changes: append(slices.Clone(f.targets), later...), Next: next}, nil
	}
	later, next, changed := f.laterThan(from.Offset)
	if len(later) > 0 {
		return catalog.TargetsUpdate{Changes: later, Next: next}, nil
	}
	select {
	case <-changed:
		later, next, _ = f.laterThan(from.Offset)
		return catalog.TargetsUpdate{Changes: later, Next: next}, nil
	case <-time.After(wait):
		return catalog.TargetsUpdate{Next: next}, nil
	case <-ctx.Done():
		return catalog.TargetsUpdate{Next: next}, ctx.Err()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testPool answers each call after 100 ms with one result per piece.
type testPool struct {
	// called, unless nil, is called with the ID of the target of each call. It is set
	// before the first call, as is signal.
	called func(target string)
	// signal, unless nil, returns what a target says of itself. It is set before the
	// first call.
	signal func(t *catalog.Target) backpressure.Signal
	// took, unless nil, returns the time of a call. It is set before the first call.
	took func(t *catalog.Target, pieces int) time.Duration

	mu      sync.Mutex
	calls   []string
	freed   []string
	arrived []time.Time // calls of either kind
}

func (p *testPool) Call(ctx context.Context, t *catalog.Target, pieces []stage.Piece, permit func() error) (stage.Reply, error) {
	if err := permit(); err != nil {
		return stage.Reply{}, err
	}
	p.recordArrival()
	if p.called != nil {
		p.called(t.ID)
	}
	var out stage.Reply
	if p.signal != nil {
		out.Signal = p.signal(t)
	}
	took := 100 * time.Millisecond
	if p.took != nil {
		took = p.took(t, len(pieces))
	}
	if err := sleep(ctx, took); err != nil {
		return stage.Reply{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, piece := range pieces {
		p.calls = append(p.calls, fmt.Sprintf("stage %d piece %d of %v", piece.Stage, piece.Number, piece.Inputs))
		handle := fmt.Sprintf("h%d.%d", piece.Stage, piece.Number)
		if p.took != nil {
			// A batcher takes results of the same handle for one, and would count the memory of
			// the others for good.
			handle += "." + piece.RequestID
		}
		out.Results = append(out.Results, stage.PieceResult{Handle: handle})
	}
	return out, nil
}

func (p *testPool) Free(_ context.Context, _ netip.AddrPort, handles []string, permit func() error) error {
	if err := permit(); err != nil {
		return err
	}
	p.recordArrival()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed = append(p.freed, handles...)
	return nil
}

// arrivals returns the times of all calls.
func (p *testPool) arrivals() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.arrived)
}

func (p *testPool) recordArrival() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived = append(p.arrived, time.Now())
}
