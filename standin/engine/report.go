package engine

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// reportLoop takes a report each ReportLag; readers see the last one taken.
func (e *Engine) reportLoop() {
	t := time.NewTicker(e.cfg.ReportLag)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.takeReport()
		case <-e.ctx.Done():
			return
		}
	}
}

// takeReport records the present state as the report that readers get.
func (e *Engine) takeReport() {
	f, _ := e.Faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	e.reported = time.Now()
	e.report = backendapi.Report{
		Report: e.reports, MemoryTokens: e.cfg.MemoryTokens, UsedTokens: e.used,
		PrefillTokensPerS: e.cfg.PrefillTokensPerS, Model: e.identity.model, Version: e.identity.version,
		Role: e.identity.role, Fence: e.identity.fence, State: "live",
		Sessions: []backendapi.Session{}, KVHandles: slices.Sorted(maps.Keys(e.kv)),
	}
	if f.Leaving {
		e.report.State = "leaving"
	}
	for _, s := range e.order {
		e.report.QueuedPrefillTokens += s.prefill
		e.report.Sessions = append(e.report.Sessions, backendapi.Session{
			Session: s.req.Session, Issuer: s.req.Issuer, Incarnation: s.req.Incarnation,
			ReservedTokens: s.reserved, RemainingMS: time.Until(s.deadline).Milliseconds(),
		})
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	if e.cfg.ReportLag == 0 {
		e.takeReport()
	}
	e.mu.Lock()
	report := e.report
	report.AgeMS = time.Since(e.reported).Milliseconds()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, report)
}
