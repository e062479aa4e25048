package load

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/enginehttp"
	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
)

// settlePollInterval is the time between two polls of an engine's used memory.
const settlePollInterval = 100 * time.Millisecond

// collectFinalState reads the engines' used memory and the services' executions after the last request.
func (r *run) collectFinalState(ctx context.Context, res *Result) {
	until := time.Now().Add(time.Duration(r.exp.SettleS * float64(time.Second)))
	for _, id := range slices.Sorted(maps.Keys(r.exp.Targets.Engines)) {
		res.MemoryLeft[id] = waitMemoryReleased(ctx, id, r.exp.Targets.Engines[id], until)
	}
	executions := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(r.exp.Targets.Services)) {
		for key, n := range readExecutions(ctx, name, r.exp.Targets.Services[name]) {
			executions[key] += n
		}
	}
	for _, key := range slices.Sorted(maps.Keys(executions)) {
		if executions[key] > 1 {
			res.RepeatedExecutions[key] = executions[key]
		}
		if r.rec.onlyNotRun(key) {
			res.ExecutedThoughNotRun = append(res.ExecutedThoughNotRun, key)
		}
	}
}

// onlyNotRun reports whether calls with the ticket were recorded and every one ended as "not run".
func (r *recorder) onlyNotRun(ticket string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := r.byTicket[ticket]
	other := func(k outcome.Kind) bool { return k != outcome.NotRun }
	return len(ends) > 0 && !slices.ContainsFunc(ends, other)
}

// waitMemoryReleased waits until the engine uses no memory, at most until the given time. It returns the
// tokens still in use, or -1 when the engine doesn't report.
func waitMemoryReleased(ctx context.Context, id, address string, until time.Time) int {
	c := enginehttp.New(enginehttp.Config{Peer: id, Address: address})
	for {
		report, err := c.Report(ctx)
		if err == nil && report.UsedTokens == 0 {
			return 0
		}
		if time.Now().After(until) || ctx.Err() != nil {
			if err != nil {
				return -1
			}
			logrus.WithFields(logrus.Fields{"engine": id, "used_tokens": report.UsedTokens, "sessions": len(report.Sessions),
				"kv_handles": len(report.KVHandles)}).Error("engine still uses memory after the last request")
			return report.UsedTokens
		}
		time.Sleep(settlePollInterval)
	}
}

func readExecutions(ctx context.Context, name, address string) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	c := serviceClient(name, address)
	resp, err := c.Lookup(ctx, servicehttp.Call{Method: http.MethodGet, Path: "/executions"})
	got := map[string]int{}
	if err == nil {
		err = json.Unmarshal(resp.Body, &got)
	}
	if err != nil {
		logrus.WithFields(logrus.Fields{"service": name}).WithError(err).Error("could not read executions")
	}
	return got
}
