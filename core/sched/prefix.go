package sched

import (
	"container/list"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
)

// prefixesPerEngine limits the entries kept for one engine's prefix cache. Engines evict too, so older
// entries are probably wrong.
const prefixesPerEngine = 4096

// prefixCache estimates which prefixes an engine has cached. It evicts the least recently used.
type prefixCache struct {
	byKey map[string]*list.Element
	order list.List // of string, most recent first
}

func (c *prefixCache) has(key string) bool {
	if key == "" {
		return false
	}
	_, ok := c.byKey[key]
	return ok
}

func (c *prefixCache) add(key string) {
	if key == "" {
		return
	}
	if el, ok := c.byKey[key]; ok {
		c.order.MoveToFront(el)
		return
	}
	if c.byKey == nil {
		c.byKey = map[string]*list.Element{}
	}
	c.byKey[key] = c.order.PushFront(key)
	if c.order.Len() > prefixesPerEngine {
		c.remove(c.order.Back().Value.(string))
	}
}

func (c *prefixCache) remove(key string) {
	if el, ok := c.byKey[key]; ok {
		c.order.Remove(el)
		delete(c.byKey, key)
	}
}

func (s *Scheduler) cacheEvent(ev CacheEvent) {
	e, ok := s.engines[ev.Engine]
	if !ok {
		return
	}
	applyCacheEvent(&e.prefixes, ev.Event)
}

func applyCacheEvent(c *prefixCache, ev backendapi.CacheEvent) {
	switch ev.Kind {
	case "stored":
		c.add(ev.Prefix)
	case "evicted":
		c.remove(ev.Prefix)
	}
}
