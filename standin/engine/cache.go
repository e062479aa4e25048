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

// Bounds of the cache events: those kept, and those in one answer.
const (
	keptEvents = 4096
	pageEvents = 256
)

type cacheEvent struct {
	backendapi.CacheEvent
	shows time.Time
}

// prefixCache keeps the least recently used prefixes within its memory and records events.
type prefixCache struct {
	capacity int // prefixes
	lag      time.Duration
	loss     float64
	rand     *rand.Rand

	byKey  map[string]*list.Element
	recent *list.List // of keys, most recently used first
	number uint64
	events []cacheEvent
}

func newPrefixCache(cfg Config, r *rand.Rand) prefixCache {
	return prefixCache{
		capacity: cfg.CacheTokens / cfg.PrefixTokens, lag: cfg.CacheEventLag, loss: cfg.CacheEventLoss, rand: r,
		byKey: map[string]*list.Element{}, recent: list.New(),
	}
}

// hit tells whether the prefix is stored, and marks it as used.
func (c *prefixCache) hit(prefix string) bool {
	el := c.byKey[prefix]
	if el != nil {
		c.recent.MoveToFront(el)
	}
	return el != nil
}

func (c *prefixCache) store(prefix string) {
	if prefix == "" || c.capacity == 0 || c.hit(prefix) {
		return
	}
	if c.recent.Len() == c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(string)
		delete(c.byKey, oldest)
		c.record(oldest, "evicted")
	}
	c.byKey[prefix] = c.recent.PushFront(prefix)
	c.record(prefix, "stored")
}

// record numbers an event; a lost one leaves a gap.
func (c *prefixCache) record(prefix, kind string) {
	c.number++
	if c.rand.Float64() < c.loss {
		return
	}
	ev := backendapi.CacheEvent{Number: c.number, Prefix: prefix, Kind: kind}
	c.events = append(c.events, cacheEvent{ev, time.Now().Add(c.lag)})
	if len(c.events) > keptEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-keptEvents/2:]...)
	}
}

func (c *prefixCache) after(n uint64) backendapi.CacheEvents {
	got := backendapi.CacheEvents{Events: []backendapi.CacheEvent{}}
	for _, ev := range c.events {
		if ev.Number > n && !time.Now().Before(ev.shows) && len(got.Events) < pageEvents {
			got.Events = append(got.Events, ev.CacheEvent)
		}
	}
	return got
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	got := e.cache.after(after)
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, got)
}
