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
	backlogLife = 500 * time.Millisecond
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
type waits struct {
	subsets map[poolShards][]int
	last    map[shardKey]wait
}

// poolShards names a pool with its number of shards.
type poolShards struct {
	pool   string
	shards int
}

// wait is a holder's word on a shard.
type wait struct {
	backlog time.Duration
	at      time.Time
}

// shards returns the host's shards of a pool.
func (w *waits) shards(host, pool string, count int) []int {
	k := poolShards{pool, count}
	if w.subsets == nil {
		w.subsets = map[poolShards][]int{}
		w.last = map[shardKey]wait{}
	}
	if w.subsets[k] == nil {
		w.subsets[k] = subset(host, pool, count)
	}
	return w.subsets[k]
}

// backlog returns the wait at a shard as far as it is known.
func (w *waits) backlog(k shardKey, now time.Time) time.Duration {
	if last, ok := w.last[k]; ok && now.Sub(last.at) < backlogLife {
		return last.backlog
	}
	return 0
}

// shardFor chooses the shard of a pool for a: the one of the shorter wait of
// two that the attempt's ID picks among the host's shards.
func (d *Dispatcher) shardFor(a *Ask) shardKey {
	count := shardCount(len(d.Targets.Usable(a.Pool, "")))
	if count == 1 {
		return shardKey{Pool: a.Pool}
	}
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.waits.shards(d.Exchange.Self.Name, a.Pool, count)
	i := d.Rand.IntN(len(own))
	j := (i + 1 + d.Rand.IntN(len(own)-1)) % len(own)
	first, second := shardKey{a.Pool, own[i]}, shardKey{a.Pool, own[j]}
	if d.waits.backlog(second, now) < d.waits.backlog(first, now) {
		return second
	}
	return first
}

// heardWait keeps the holder's word on the wait at a shard.
func (d *Dispatcher) heardWait(k shardKey, backlog time.Duration) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waits.last != nil {
		d.waits.last[k] = wait{backlog, now}
	}
}

// shardOf returns the shard of a target among a power of two of shards. When
// the number doubles each shard is cut in two.
func shardOf(target string, shards int) int {
	return int(xxhash.Sum64String(target) & uint64(shards-1))
}
