package queue

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Each host uses only a few shards of a pool, so that the number of holders and
// targets that it keeps connections to does not grow with the pool. Of two of its
// shards it uses the one whose holder last reported the shorter wait.

// Parameters of the choice of shards.
const (
	// subsetSize is the number of shards of a pool that a host uses.
	subsetSize = 6
	// reportedWaitLifetime is how long the wait that a holder reported is used;
	// after that the shard is assumed to be idle, so that it is tried again.
	reportedWaitLifetime = 500 * time.Millisecond
)

// subset returns the shards of a pool that a host uses: those with the highest
// rendezvous weight, so that hosts spread evenly over the shards and a change of
// the number of shards moves few of them.
func subset(host, pool string, shards int) []int {
	weights := make([]uint64, shards)
	order := make([]int, shards)
	for i := range order {
		order[i] = i
		weights[i] = xxhash.Sum64String(host + "\x00" + pool + "\x00" + strconv.Itoa(i))
	}
	sort.Slice(order, func(i, j int) bool { return weights[order[i]] > weights[order[j]] })
	return order[:min(subsetSize, shards)]
}

// reportedWaits holds the waits that holders last reported for their shards.
// Dispatcher.mu guards it.
type reportedWaits struct {
	subsets map[subsetKey][]int
	last    map[shardKey]reportedWait
}

// subsetKey identifies a pool with its number of shards.
type subsetKey struct {
	pool   string
	shards int
}

// reportedWait is the wait at a shard that its holder reported.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

// shards returns the shards of a pool that a host uses, and caches them.
func (w *reportedWaits) shards(host, pool string, count int) []int {
	k := subsetKey{pool, count}
	if w.subsets == nil {
		w.subsets = map[subsetKey][]int{}
		w.last = map[shardKey]reportedWait{}
	}
	if w.subsets[k] == nil {
		w.subsets[k] = subset(host, pool, count)
	}
	return w.subsets[k]
}

// waitAt returns the wait at a shard, or zero if it is unknown or outdated.
func (w *reportedWaits) waitAt(k shardKey, now time.Time) time.Duration {
	if last, ok := w.last[k]; ok && now.Sub(last.at) < reportedWaitLifetime {
		return last.wait
	}
	return 0
}

// chooseShard chooses the shard of a pool for a: the one with the shorter wait of
// two that are picked at random among the host's shards.
func (d *Dispatcher) chooseShard(a *SlotRequest) shardKey {
	count := shardCount(len(d.Targets.Usable(a.Pool, "")))
	if count == 1 {
		return shardKey{Pool: a.Pool}
	}
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.shardWaits.shards(d.Exchange.Self.Name, a.Pool, count)
	i := d.Rand.IntN(len(own))
	j := (i + 1 + d.Rand.IntN(len(own)-1)) % len(own)
	first, second := shardKey{a.Pool, own[i]}, shardKey{a.Pool, own[j]}
	if d.shardWaits.waitAt(second, now) < d.shardWaits.waitAt(first, now) {
		return second
	}
	return first
}

// recordShardWait stores the wait at a shard that its holder reported.
func (d *Dispatcher) recordShardWait(k shardKey, wait time.Duration) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shardWaits.last != nil {
		d.shardWaits.last[k] = reportedWait{wait, now}
	}
}

// shardOf returns the shard of a target. The number of shards is a power of two;
// when it doubles, each shard is split in two.
func shardOf(target string, shards int) int {
	return int(xxhash.Sum64String(target) & uint64(shards-1))
}
