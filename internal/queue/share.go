package queue

import (
	"math"
	"sort"
	"time"

	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Parameters of the workspaces' shares.
const (
	maxWorkspaces = 2048
	// A workspace without requests for shareIdle leaves its share to the others.
	// A workspace may use at once the work that its share allows in shareBurst.
	shareIdle  = 2 * time.Second
	shareBurst = 2 * time.Second
)

// shareBuckets holds a token bucket of work for each recently seen workspace.
type shareBuckets struct {
	buckets     *lru.Cache[string, *bucket]
	weightSum   float64 // of the active workspaces
	weightSumAt time.Time
}

type bucket struct {
	weight    float64
	remaining float64 // seconds of work at speed one
	updated   time.Time
}

// spend takes work from the bucket of a's workspace. It reports whether the
// workspace is within its share of capacity, which is in work per second.
func (s *shareBuckets) spend(a *SlotRequest, work, capacity float64, now time.Time) bool {
	if s.buckets == nil {
		s.buckets, _ = lru.New[string, *bucket](maxWorkspaces) // fails only for a size below one
	}
	b, ok := s.buckets.Get(a.Workspace)
	if !ok {
		b = &bucket{updated: now, remaining: math.Inf(1)}
		s.buckets.Add(a.Workspace, b)
		s.weightSumAt = time.Time{}
	}
	b.weight = a.Weight
	if b.weight <= 0 {
		b.weight = 1
	}
	s.sumWeights(now)
	rate := capacity * b.weight / max(s.weightSum, b.weight)
	b.remaining = min(b.remaining+rate*now.Sub(b.updated).Seconds(), rate*shareBurst.Seconds())
	b.updated = now
	if b.remaining < work {
		return s.weightSum <= b.weight // true if no other workspace is active
	}
	b.remaining -= work
	return true
}

// weightSumPeriod is how often the weights of active workspaces are summed.
const weightSumPeriod = 500 * time.Millisecond

func (s *shareBuckets) sumWeights(now time.Time) {
	if now.Sub(s.weightSumAt) < weightSumPeriod {
		return
	}
	s.weightSumAt = now
	s.weightSum = 0
	for _, b := range s.buckets.Values() {
		if now.Sub(b.updated) < shareIdle {
			s.weightSum += b.weight
		}
	}
}

// ownSlots returns the slots of targets that self may grant on its own. Each host
// gets an equal part of a target's slots, and the remainder is distributed by a
// hash of target and host. A host that would get nothing gets one slot of one
// target.
func ownSlots(targets []*declaration.Target, m *peer.Members, self string) []targetSlots {
	var out []targetSlots
	for _, t := range targets {
		n := t.Slots / len(m.Hosts)
		if rank(m, self, t.Name) < t.Slots%len(m.Hosts) {
			n++
		}
		if n > 0 {
			out = append(out, targetSlots{target: t, slots: n})
		}
	}
	if len(out) == 0 && len(targets) > 0 {
		i := xxhash.Sum64String(self) % uint64(len(targets))
		out = append(out, targetSlots{target: targets[i], slots: 1})
	}
	return out
}

// rank returns the position of self among the hosts, ordered by their hash with
// key.
func rank(m *peer.Members, self, key string) int {
	own := xxhash.Sum64String(self + "\x00" + key)
	n := 0
	for i := range m.Hosts {
		if xxhash.Sum64String(m.Hosts[i].Name+"\x00"+key) > own {
			n++
		}
	}
	return n
}

// shardSize is the upper bound of the mean number of targets of a shard.
const shardSize = 24

// shardKey identifies a shard of a pool.
type shardKey struct {
	Pool  string
	Shard int
}

// shardCount returns the number of shards for n targets. It is a power of two, so
// that it changes only when a pool has doubled, and hosts whose counts of targets
// differ by a few agree on it.
func shardCount(n int) int {
	count := 1
	for n > count*shardSize {
		count *= 2
	}
	return count
}

// shardTargets returns the targets of a shard with all their slots, sorted by name.
func shardTargets(targets []*declaration.Target, shard int) []targetSlots {
	shards := shardCount(len(targets))
	var out []targetSlots
	for _, t := range targets {
		if shardOf(t.Name, shards) == shard {
			out = append(out, targetSlots{target: t, slots: t.Slots})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].target.Name < out[j].target.Name })
	return out
}
