package catalog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"go.uber.org/zap"
)

// missedWakeFeed is a store that is unavailable until availableAt and has a new
// configuration from changeAt on. A read that waits then is not woken by the change
// and returns it only when its wait is over.
type missedWakeFeed struct {
	availableAt time.Time
	changeAt    time.Time
}

func (d *missedWakeFeed) ReadTable(ctx context.Context, from Position, wait time.Duration) (TableUpdate, error) {
	if time.Now().Before(d.availableAt) {
		return TableUpdate{}, errors.New("store is unavailable")
	}
	if from.Offset == Start {
		return TableUpdate{Table: &Table{Version: 1}, Next: 1}, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return TableUpdate{}, ctx.Err()
	}
	if from.Offset > 1 || time.Now().Before(d.changeAt) {
		return TableUpdate{Next: from.Offset}, nil
	}
	return TableUpdate{Table: &Table{Version: 2}, Next: 2}, nil
}

func (d *missedWakeFeed) ReadTargets(ctx context.Context, _ Position, wait time.Duration) (TargetsUpdate, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return TargetsUpdate{}, ctx.Err()
	}
	return TargetsUpdate{Full: true, Next: 1}, nil
}

// TestChangeAfterOutage expects a change that is made just after the store has
// recovered to be in force within ApplyTime.
func TestChangeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, apply = 9 * time.Second, 2 * time.Second
		feed := &missedWakeFeed{availableAt: time.Now().Add(outage)}
		f := &Follower{Feed: feed, Clock: &clock.Service{}, Log: zap.NewNop(), ApplyTime: apply}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(outage + apply)
		if table := f.Snapshot().Table; table == nil || table.Version != 2 {
			t.Errorf("in force %v after the outage: %+v", apply, table)
		}
		cancel()
		<-done
	})
}

// TestMissedChange expects a change that a waiting read misses to be in force within
// ApplyTime at any time of the day. A read once waited longer than that when the
// store had been quiet.
func TestMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet, apply = 20 * time.Second, 2 * time.Second
		feed := &missedWakeFeed{changeAt: time.Now().Add(quiet)}
		f := &Follower{Feed: feed, Clock: &clock.Service{}, Log: zap.NewNop(), ApplyTime: apply}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(quiet + apply)
		if table := f.Snapshot().Table; table == nil || table.Version != 2 {
			t.Errorf("in force %v after the change: %+v", apply, table)
		}
		cancel()
		<-done
	})
}
