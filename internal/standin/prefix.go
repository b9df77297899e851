package standin

import (
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCacheEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 4096

// prefixCache is the LRU cache of prompt prefixes of an engine. The engine's mutex
// guards it.
type prefixCache struct {
	lru      *simplelru.LRU[string, bool]
	eventGap int // each eventGap-th event is lost; zero loses none
	eventLog []contract.CacheEvent
	nextSeq  int
}

func newPrefixCache(size, gap int) *prefixCache {
	c := &prefixCache{eventGap: gap}
	lru, err := simplelru.NewLRU(max(size, 1), func(prefix string, _ bool) { c.recordEvent(prefix, true) })
	if err != nil {
		panic(err)
	}
	c.lru = lru
	return c
}

// lookupOrAdd reports whether prefix was cached, and caches it if not.
func (c *prefixCache) lookupOrAdd(prefix string) bool {
	if _, ok := c.lru.Get(prefix); ok {
		return true
	}
	c.lru.Add(prefix, true)
	c.recordEvent(prefix, false)
	return false
}

// recordEvent appends a cache event to the event log, unless it is to be lost.
func (c *prefixCache) recordEvent(prefix string, evicted bool) {
	seq := c.nextSeq
	c.nextSeq++
	if c.eventGap > 0 && seq%c.eventGap == c.eventGap-1 {
		return
	}
	c.eventLog = append(c.eventLog, contract.CacheEvent{Seq: seq, At: time.Now(), Prefix: prefix, Evicted: evicted})
	if len(c.eventLog) > maxCacheEvents {
		c.eventLog = c.eventLog[len(c.eventLog)-maxCacheEvents:]
	}
}

// events returns the events with sequence number from or above that occurred no
// later than limit, and the sequence number to start from next time.
func (c *prefixCache) events(from int, limit time.Time) ([]contract.CacheEvent, int) {
	var out []contract.CacheEvent
	next := from
	for _, ev := range c.eventLog {
		if ev.Seq >= from && !ev.At.After(limit) {
			out = append(out, ev)
			next = ev.Seq + 1
		}
	}
	return out, next
}
