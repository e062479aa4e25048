package rollout

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

const (
	// slowListFactor times its validity is how long some callers use an address list.
	slowListFactor = 3
	// maxResolves is the number of hosts that a caller asks for a new list in turn.
	maxResolves = 3
	// avoidTime is how long a caller leaves out an address that it could not connect to.
	avoidTime = time.Second
)

// exchange is a request and its end, as its caller sees it.
type exchange struct {
	standin.Exchange
	kind *Kind
	host *host
}

// caller sends requests one at a time, on connections that it keeps open for as long as it may.
type caller struct {
	run       *run
	rng       *rand.Rand
	name      string
	busy      bool          // uses an open connection until the host ends it
	listTime  time.Duration // factor on the validity of address lists
	addresses []string
	until     time.Time // the list is used until then
	failed    map[string]time.Time
	open      []connection
	requests  int
}

// connection is a connection to the host at an address.
type connection struct {
	*standin.Connection
	address string
}

func (r *run) startCallers(ctx context.Context, running *sync.WaitGroup) {
	total := 0.0
	for _, k := range r.Profile.Kinds {
		total += k.PerS
	}
	gap := time.Duration(float64(r.Profile.Callers) / total * float64(time.Second))
	for i := range r.Profile.Callers {
		rng := rand.New(rand.NewSource(r.Seed<<16 + int64(i)))
		c := &caller{
			run: r, rng: rng, busy: rng.Float64() < r.Profile.BusyCallerShare, listTime: 1, failed: map[string]time.Time{},
			name: fmt.Sprintf("c%d-%d", r.Seed, i),
		}
		if rng.Float64() < r.Profile.SlowListShare {
			c.listTime = slowListFactor
		}
		running.Go(func() {
			for next := time.Now(); ctx.Err() == nil; {
				next = next.Add(time.Duration(rng.ExpFloat64() * float64(gap)))
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(next)): // at once if the last request has taken longer
					c.callOnce(ctx)
				}
			}
			c.leave(func(string) bool { return true })
		})
	}
}

func (c *caller) callOnce(ctx context.Context) {
	k := c.run.Profile.draw(c.rng, time.Since(c.run.began))
	c.requests++
	q := c.run.Profile.request(k, fmt.Sprintf("%s-%d", c.name, c.requests), c.rng)
	c.refresh(ctx)
	conn, ok := c.connect()
	if !ok {
		return
	}
	x := conn.Do(q)
	if x.Closing || x.Err != nil {
		_ = conn.Close() // nothing is read from it any more
	} else {
		c.open = append(c.open, conn)
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.exchanges = append(c.run.exchanges, exchange{x, k, c.run.hostAt(conn.address)})
}

// refresh asks for a new address list when the last one is no longer valid, and leaves connections whose hosts are not in it.
func (c *caller) refresh(ctx context.Context) {
	if time.Now().Before(c.until) {
		return
	}
	for range maxResolves {
		h := c.run.hosts[c.rng.Intn(len(c.run.hosts))]
		a, err := standin.Resolve(ctx, h.Settings.Entry.DirectoryAddress)
		if err != nil {
			continue // the host may be down
		}
		c.addresses, c.until = a.List, time.Now().Add(c.listTime*a.TTL)
		break
	}
	if !c.busy {
		c.leave(func(address string) bool { return !slices.Contains(c.addresses, address) })
	}
}

// connect takes one of the open connections, or opens another one while there are few. It returns false if that fails.
func (c *caller) connect() (connection, bool) {
	if i := c.rng.Intn(c.run.Profile.Connections); i < len(c.open) {
		conn := c.open[i]
		c.open = slices.Delete(c.open, i, i+1)
		return conn, true
	}
	var usable []string
	for _, a := range c.addresses {
		if time.Now().After(c.failed[a]) {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return connection{}, false
	}
	address := usable[c.rng.Intn(len(usable))]
	conn, err := standin.Connect(address)
	if err != nil {
		c.failed[address] = time.Now().Add(avoidTime)
		return connection{}, false
	}
	return connection{conn, address}, true
}

// leave closes the open connections to some addresses.
func (c *caller) leave(to func(address string) bool) {
	c.open = slices.DeleteFunc(c.open, func(x connection) bool {
		if to(x.address) {
			_ = x.Close() // nothing is read from it any more
			return true
		}
		return false
	})
}

// hostAt returns the host with an address for callers.
func (r *run) hostAt(address string) *host {
	for _, h := range r.hosts {
		if h.Settings.Entry.HTTPAddress == address {
			return h
		}
	}
	return nil
}
