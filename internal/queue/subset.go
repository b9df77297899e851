package queue

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Each host uses only a few shards of a pool, so that the number of holders and
// targets that it keeps connections to does not grow with the pool. Among its
// shards it asks the one whose holder last named the shorter wait.

// Parameters of the choice of shards.
const (
	// subsetSize is the number of shards of a pool that a host uses.
	subsetSize = 6
	// backlogLife is how long a holder's word on its wait counts; after it the
	// shard is taken for idle, so that it is asked again.
	reportedWaitLifetime = 500 * time.Millisecond
)

// subset returns the shards of a pool that a host uses: those of the highest
// rendezvous weight, so that hosts spread evenly over the shards and a change
// of the number of shards moves few.
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

// waits remembers what holders last said of the wait at their shards. Its owner
// guards it by Dispatcher.mu.
type reportedWaits struct {
	subsets map[subsetKey][]int
	last    map[shardKey]reportedWait
}

// poolShards names a pool with its number of shards.
type subsetKey struct {
	pool   string
	shards int
}

// wait is a holder's word on a shard.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

// shards returns the host's shards of a pool.
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

// backlog returns the wait at a shard as far as it is known.
func (w *reportedWaits) waitAt(k shardKey, now time.Time) time.Duration {
	if last, ok := w.last[k]; ok && now.Sub(last.at) < reportedWaitLifetime {
		return last.wait
	}
	return 0
}

// shardFor chooses the shard of a pool for a: the one of the shorter wait of
// two that the attempt's ID picks among the host's shards.
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

// heardWait keeps the holder's word on the wait at a shard.
func (d *Dispatcher) recordShardWait(k shardKey, backlog time.Duration) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shardWaits.last != nil {
		d.shardWaits.last[k] = reportedWait{backlog, now}
	}
}

// shardOf returns the shard of a target among a power of two of shards. When
// the number doubles each shard is cut in two.
func shardOf(target string, shards int) int {
	return int(xxhash.Sum64String(target) & uint64(shards-1))
}
