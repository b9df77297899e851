package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// TestSubsetSpread checks that the subsets of a full-size deployment's hosts spread
// over the shards of a pool: no shard is used by over a quarter more than the mean.
func TestSubsetSpread(t *testing.T) {
	const hosts, shards = 520, 16
	counts := make([]int, shards)
	for h := range hosts {
		for _, s := range subset(fmt.Sprintf("host-%d", h), "engine", shards) {
			counts[s]++
		}
	}
	mean := hosts * subsetSize / shards
	for s, n := range counts {
		if n > mean*5/4 {
			t.Errorf("shard %d is used by %d hosts, the mean is %d", s, n, mean)
		}
	}
}

// TestShardsSplit checks that doubling the number of shards splits each in two and
// moves no target to a part of another shard.
func TestShardsSplit(t *testing.T) {
	for i := range 500 {
		name := fmt.Sprintf("engine-%d", i)
		before, after := shardOf(name, 8), shardOf(name, 16)
		if after%8 != before {
			t.Errorf("%s went from shard %d to %d", name, before, after)
		}
	}
	if a, b := shardCount(100), shardCount(180); a != b {
		t.Errorf("100 targets make %d shards, 180 make %d", a, b)
	}
}

// TestTrafficRenewsLeases checks that any message from a host renews its leases,
// and that they expire once it is silent.
func TestTrafficRenewsLeases(t *testing.T) {
	start := time.Now()
	var h shardHolder
	sched := newScheduler("engine")
	sched.update([]targetSlots{{target: &declaration.Target{Name: "engine-1"}, slots: 1}})
	var got []string
	sched.enqueue(&ticket{owner: "host-1", request: SlotRequest{AttemptID: "a1", Deadline: start.Add(time.Minute)}, deliver: func(x decision) {
		got = append(got, x.target)
	}}, start)
	if !slices.Equal(got, []string{"engine-1"}) {
		t.Fatalf("granted %v", got)
	}
	for at := time.Second; at <= 10*time.Second; at += time.Second {
		h.recordMessage("host-1", start.Add(at))
		sched.renewLeases(h.lastHeard)
		sched.tick(start.Add(at))
	}
	if sched.idle() {
		t.Error("the lease of a host that sends messages expired")
	}
	sched.renewLeases(h.lastHeard)
	sched.tick(start.Add(10*time.Second + leaseTimeout + time.Second))
	if !sched.idle() {
		t.Error("the lease of a silent host did not expire")
	}
}
