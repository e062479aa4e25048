package engine

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// reportLoop takes a report every ReportLag; readers get the last one.
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

// takeReport stores the current state as the report for readers.
func (e *Engine) takeReport() {
	f, _ := e.Faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportNumber++
	e.reportedAt = time.Now()
	e.lastReport = backendapi.Report{
		Report: e.reportNumber, MemoryTokens: e.cfg.MemoryTokens, UsedTokens: e.usedTokens,
		PrefillTokensPerS: e.cfg.PrefillTokensPerS, Model: e.assignment.model, Version: e.assignment.version,
		Role: e.assignment.role, Fence: e.assignment.fence, State: "live",
		Sessions: []backendapi.Session{}, KVHandles: slices.Sorted(maps.Keys(e.exportedKV)),
	}
	if f.Leaving {
		e.lastReport.State = "leaving"
	}
	for _, s := range e.queue {
		e.lastReport.QueuedPrefillTokens += s.pendingPrefill
		e.lastReport.Sessions = append(e.lastReport.Sessions, backendapi.Session{
			Session: s.req.Session, Issuer: s.req.Issuer, Incarnation: s.req.Incarnation,
			ReservedTokens: s.reservedTokens, RemainingMS: time.Until(s.deadline).Milliseconds(),
		})
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	if e.cfg.ReportLag == 0 {
		e.takeReport()
	}
	e.mu.Lock()
	report := e.lastReport
	report.AgeMS = time.Since(e.reportedAt).Milliseconds()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, report)
}
