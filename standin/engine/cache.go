package engine

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// Limits of the cache events in the log and in one response.
const (
	maxEvents            = 4096
	maxEventsPerResponse = 256
)

type cacheEvent struct {
	backendapi.CacheEvent
	visibleAt time.Time
}

// prefixCache is an LRU cache of prefixes that records an event for each insertion and eviction.
type prefixCache struct {
	capacity int // prefixes
	lag      time.Duration
	loss     float64
	rand     *rand.Rand

	byKey      map[string]*list.Element
	lru        *list.List // keys, most recently used first
	lastNumber uint64
	events     []cacheEvent
}

func newPrefixCache(cfg Config, r *rand.Rand) prefixCache {
	return prefixCache{
		capacity: cfg.CacheTokens / cfg.PrefixTokens, lag: cfg.CacheEventLag, loss: cfg.CacheEventLoss, rand: r,
		byKey: map[string]*list.Element{}, lru: list.New(),
	}
}

// hit reports whether the prefix is cached and marks it as recently used.
func (c *prefixCache) hit(prefix string) bool {
	el := c.byKey[prefix]
	if el != nil {
		c.lru.MoveToFront(el)
	}
	return el != nil
}

func (c *prefixCache) store(prefix string) {
	if prefix == "" || c.capacity == 0 || c.hit(prefix) {
		return
	}
	if c.lru.Len() == c.capacity {
		oldest := c.lru.Remove(c.lru.Back()).(string)
		delete(c.byKey, oldest)
		c.record(oldest, "evicted")
	}
	c.byKey[prefix] = c.lru.PushFront(prefix)
	c.record(prefix, "stored")
}

// record adds an event with the next number. A lost event leaves a gap in the numbers.
func (c *prefixCache) record(prefix, kind string) {
	c.lastNumber++
	if c.rand.Float64() < c.loss {
		return
	}
	ev := backendapi.CacheEvent{Number: c.lastNumber, Prefix: prefix, Kind: kind}
	c.events = append(c.events, cacheEvent{ev, time.Now().Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

func (c *prefixCache) eventsAfter(n uint64) backendapi.CacheEvents {
	got := backendapi.CacheEvents{Events: []backendapi.CacheEvent{}}
	for _, ev := range c.events {
		if ev.Number > n && !time.Now().Before(ev.visibleAt) && len(got.Events) < maxEventsPerResponse {
			got.Events = append(got.Events, ev.CacheEvent)
		}
	}
	return got
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	got := e.cache.eventsAfter(after)
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, got)
}
