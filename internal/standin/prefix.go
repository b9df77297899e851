package standin

import (
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 4096

// prefixCache is the prefix cache of an engine: it drops the prefix that was
// not used for longest. The engine's mutex guards it.
type prefixCache struct {
	lru      *simplelru.LRU[string, bool]
	eventGap int // each gap-th event is lost
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

// use reports whether prefix was cached, and caches it.
func (c *prefixCache) lookupOrAdd(prefix string) bool {
	if _, ok := c.lru.Get(prefix); ok {
		return true
	}
	c.lru.Add(prefix, true)
	c.recordEvent(prefix, false)
	return false
}

func (c *prefixCache) recordEvent(prefix string, evicted bool) {
	no := c.nextSeq
	c.nextSeq++
	if c.eventGap > 0 && no%c.eventGap == c.eventGap-1 {
		return
	}
	c.eventLog = append(c.eventLog, contract.CacheEvent{Seq: no, At: time.Now(), Prefix: prefix, Evicted: evicted})
	if len(c.eventLog) > maxCacheEvents {
		c.eventLog = c.eventLog[len(c.eventLog)-maxCacheEvents:]
	}
}

// events returns the events from a number on that happened by limit, and the
// number to ask from next.
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
