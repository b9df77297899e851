package crash

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// memoryArchive is an archive that fails while down is set.
type memoryArchive struct {
	mu     sync.Mutex
	down   bool
	values map[string][]byte
}

var errArchiveDown = errors.New("archive is down")

func (a *memoryArchive) Save(_ context.Context, key string, value []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return errArchiveDown
	}
	if value == nil {
		delete(a.values, key)
	} else {
		a.values[key] = value
	}
	return nil
}

func (a *memoryArchive) Load(context.Context) (map[string][]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, errArchiveDown
	}
	return maps.Clone(a.values), nil
}

// saved returns a copy of what the archive holds.
func (a *memoryArchive) saved() map[string][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.values)
}

func (a *memoryArchive) restore(values map[string][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.values = maps.Clone(values)
}

func (a *memoryArchive) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// startArchived returns a table with the archive a. stop ends it as the process does.
func startArchived(t *testing.T, a *memoryArchive) (table *Table, stop func()) {
	t.Helper()
	table = newTables(t, 1)[0]
	table.Archive = a
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- table.Run(ctx) }()
	time.Sleep(10 * time.Millisecond)
	return table, func() { cancel(); <-done }
}

// TestHostsThatShareOnlyTheArchive has a part crash targets at a host that can't reach
// the others, and expects another such host to block the part soon.
func TestHostsThatShareOnlyTheArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &memoryArchive{values: map[string][]byte{}}
		var tables []*Table
		for range 2 {
			table := newTables(t, 1)[0]
			table.Archive, table.Hosts = a, func() int { return 3 }
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- table.Run(ctx) }()
			t.Cleanup(func() { cancel(); <-done })
			tables = append(tables, table)
		}
		time.Sleep(time.Second)
		for i := range maxCrashes {
			tables[0].RecordCrash(Incident{Target: fmt.Sprint("t", i)}, suspectsOf([]string{"a", fmt.Sprint("#", i)}))
			time.Sleep(time.Second)
		}
		time.Sleep(2 * archiveRetryInterval)
		if diff := cmp.Diff(Suspect{Part: "a"}, tables[1].BlockedSuspect(suspectsOf([]string{"a"}))); diff != "" {
			t.Errorf("blocked (-want +got):\n%s", diff)
		}
	})
}

// TestArchiveThatLosesRecords has the archive come back from a copy, without a part that was
// blocked since and with one that was cleared since, and expects both to be saved again: hosts
// that start later would otherwise not block the one, and block the other.
func TestArchiveThatLosesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &memoryArchive{values: map[string][]byte{}}
		table, stop := startArchived(t, a)
		defer stop()
		block := func(part string) {
			for i := range maxCrashes {
				table.RecordCrash(Incident{Target: fmt.Sprint(part, i)}, suspectsOf([]string{part, fmt.Sprint("#", part, i)}))
				time.Sleep(time.Second)
			}
		}
		keys := func() []string { return slices.Sorted(maps.Keys(a.saved())) }
		block("a")
		time.Sleep(2 * archiveRetryInterval)
		copied := a.saved()
		block("b")
		table.RecordAnswer(suspectsOf([]string{"a"}))
		time.Sleep(2 * archiveRetryInterval)
		want := keys()
		a.restore(copied)
		if diff := cmp.Diff(want, keys()); diff == "" {
			t.Fatalf("the copy lacks nothing: %v", want)
		}
		table.ArchiveAgain()
		time.Sleep(2 * archiveRetryInterval)
		if diff := cmp.Diff(want, keys()); diff != "" {
			t.Errorf("archive (-want +got):\n%s", diff)
		}
	})
}

// TestRestartOfAllHosts blocks a part and a body while the archive is down, ends all
// hosts after it is back, and expects the next ones to block both. An answer to a
// request with the part clears it for good.
func TestRestartOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &memoryArchive{values: map[string][]byte{"Part/garbled": []byte("{")}}
		first, stop := startArchived(t, a)
		a.setDown(true)
		for i := range maxCrashes {
			first.RecordCrash(Incident{Target: fmt.Sprint("t", i)}, suspectsOf([]string{"a", "c", "#d"}))
			time.Sleep(time.Second)
		}
		a.setDown(false)
		time.Sleep(archiveRetryInterval)
		stop()
		check := func(table *Table, want ...string) {
			t.Helper()
			got := []string{
				scriptName(table.BlockedSuspect(suspectsOf([]string{"a", "c", "#other"}))),
				scriptName(table.BlockedSuspect(suspectsOf([]string{"a", "c", "#d"}))),
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("blocked (-want +got):\n%s", diff)
			}
		}
		a.setDown(true)
		second, stop := startArchived(t, a)
		check(second, "", "")
		a.setDown(false)
		time.Sleep(archiveRetryInterval)
		check(second, "c", "#d")
		second.RecordAnswer(suspectsOf([]string{"c"}))
		time.Sleep(archiveRetryInterval)
		stop()
		third, stop := startArchived(t, a)
		check(third, "", "#d")
		stop()
		time.Sleep(incidentLifetime)
		fourth, stop := startArchived(t, a)
		check(fourth, "", "")
		time.Sleep(archiveRetryInterval)
		stop()
		if diff := cmp.Diff(map[string][]byte{"Part/garbled": []byte("{")}, a.values); diff != "" {
			t.Errorf("archive (-want +got):\n%s", diff)
		}
	})
}
