package trail

import (
	"context"
	"fmt"
	"math/rand"
	"time"
)

const (
	// movedServices is the number of services among which the moved route goes round, so that the service that runs a request
	// tells by which version it was handled, as long as that one is fewer versions old.
	movedServices = 16
	// poolService is the service of the servers that come and leave, and of all other routes.
	poolService = "pool"
	poolSize    = 6
	lastingKey  = "lasting"
	routeHost   = "h.example"
	routeTime   = 1500 * time.Millisecond
	// The shares bound the times between two versions, and between two servers that leave, as parts of the interval.
	minVersionGap, maxVersionGap = 0.8, 1.2
	minLeaveGap, maxLeaveGap     = 0.5, 1.5
	// drainTime is the time between a server's report that it drains and the removal of its entry.
	drainTime = 2 * time.Second
	// versionStep is the difference between the numbers of two versions.
	versionStep = 3
)

// Paths of the lasting routes.
const (
	movedPath = "/safe/moved/x"
	poolPath  = "/safe/pool/x"
)

// version is a published configuration. Version i has the routes and keys i and i-1, and its moved route goes to service i modulo
// movedServices.
type version struct {
	sent, acked time.Time // before and after it was written
}

func movedService(i int) string { return fmt.Sprintf("moved%d", i%movedServices) }
func routePath(i int) string    { return fmt.Sprintf("/safe/r%d/x", i) }
func keyOf(i int) string        { return fmt.Sprintf("key%d", i) }

// publish publishes the next version.
func (r *run) publish() {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.publishLocked()
}

func (r *run) publishLocked() {
	i := len(r.versions)
	routes := []any{route("moved", movedService(i)), route("pool", poolService)}
	keys := []string{lastingKey}
	for _, k := range []int{i - 1, i} {
		routes = append(routes, route(fmt.Sprintf("r%d", k), poolService))
		keys = append(keys, keyOf(k))
	}
	services := []any{map[string]any{"name": poolService}}
	for k := range movedServices {
		services = append(services, map[string]any{"name": movedService(k)})
	}
	r.number += versionStep
	v := version{sent: time.Now()}
	r.fleet.Store.Put("op/config", map[string]any{
		"version": r.number, "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": "sorters", "api_keys": keys}},
		"limits":  map[string]any{"max_body_bytes": 1 << 20, "max_header_bytes": 0},
	})
	v.acked = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

// publishUnreadable publishes a configuration that hosts can't read.
func (r *run) publishUnreadable() {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.number += versionStep
	r.fleet.Store.Put("op/config", []byte(`{"version": `))
}

func route(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": "/safe/" + name + "/", "type": "safe", "service": service,
		"timeout_ms": routeTime.Milliseconds(), "aim_ms": 300, "max_attempts": 2,
	}
}

func (r *run) publishVersions(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, r.gap(rng, minVersionGap, maxVersionGap))
		r.publish()
	}
}

// gap returns a random part of the interval.
func (r *run) gap(rng *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + (high-low)*rng.Float64()) * float64(r.Interval))
}

// replaceServers adds servers and lets others leave, with or without a report that they drain.
func (r *run) replaceServers(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, r.gap(rng, minLeaveGap, maxLeaveGap))
		r.writing.Lock()
		r.replaceLocked(rng.Intn(2) == 0)
		r.writing.Unlock()
	}
}

// replaceLocked adds a server and lets the oldest one leave. The caller holds r.writing.
func (r *run) replaceLocked(drains bool) {
	if err := r.addServer(); err != nil {
		r.problem("server not added: %v", err)
		return
	}
	s := r.pool[0]
	r.pool = r.pool[1:]
	if !drains {
		r.fleet.Deregister(s)
	} else {
		r.fleet.Register(s, poolService, "draining")
		time.AfterFunc(drainTime, func() {
			r.writing.Lock()
			defer r.writing.Unlock()
			r.fleet.Deregister(s)
		})
	}
	r.leaves[s.ID] = time.Now()
}

// addServer adds a server of the pool, which serves until the end of the run.
func (r *run) addServer() error {
	r.servers++
	s, err := r.fleet.AddIn(poolService, fmt.Sprintf("z%d", r.servers%len(zoneSizes)+1))
	if err == nil {
		r.pool = append(r.pool, s)
	}
	return err
}
