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

// settlePoll is the time between two looks at the engines' memory.
const settlePoll = 100 * time.Millisecond

// final reads what is left at the stand-ins after the last request.
func (r *run) final(ctx context.Context, res *Result) {
	until := time.Now().Add(time.Duration(r.exp.SettleS * float64(time.Second)))
	for _, id := range slices.Sorted(maps.Keys(r.exp.Targets.Engines)) {
		res.MemoryLeft[id] = memoryLeft(ctx, id, r.exp.Targets.Engines[id], until)
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

// onlyNotRun reports whether each call with the ticket ended as "not run".
func (r *recorder) onlyNotRun(ticket string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := r.byTicket[ticket]
	other := func(k outcome.Kind) bool { return k != outcome.NotRun }
	return len(ends) > 0 && !slices.ContainsFunc(ends, other)
}

// memoryLeft waits until the engine holds nothing, and returns what it still holds at the end; -1 when
// it doesn't report.
func memoryLeft(ctx context.Context, id, address string, until time.Time) int {
	c := enginehttp.New(enginehttp.Config{Peer: id, Address: address})
	defer c.Close()
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
				"kv_handles": len(report.KVHandles)}).Error("memory left")
			return report.UsedTokens
		}
		time.Sleep(settlePoll)
	}
}

func readExecutions(ctx context.Context, name, address string) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	c := serviceClient(name, address)
	defer c.Close()
	resp, err := c.Lookup(ctx, servicehttp.Call{Method: http.MethodGet, Path: "/executions"})
	got := map[string]int{}
	if err == nil {
		err = json.Unmarshal(resp.Body, &got)
	}
	if err != nil {
		logrus.WithFields(logrus.Fields{"service": name}).WithError(err).Error("executions not read")
	}
	return got
}
