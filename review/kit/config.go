package kit

// Route is a route of the configuration.
type Route struct {
	Name, Kind, Service string
	TimeoutMS, AimMS    int
	Attempts            int
	Resumable           bool
}

// Routes of a small deployment, with the times of its sheet.
var (
	Lookup  = Route{Name: "lookup", Kind: "safe", Service: "ledger-app", TimeoutMS: 2000, AimMS: 300, Attempts: 2}
	Payment = Route{Name: "payment", Kind: "unsafe", Service: "ledger-app", TimeoutMS: 2000, AimMS: 300, Attempts: 1}
	Query   = Route{Name: "query", Kind: "streaming", Service: "rosemaryhill-pool", TimeoutMS: 10000, AimMS: 300, Attempts: 2, Resumable: true}
	Archive = Route{Name: "archive", Kind: "streaming", Service: "rosemaryhill-pool", TimeoutMS: 15000, AimMS: 3000, Attempts: 2, Resumable: true}
)

// Config returns a configuration. keys are the API keys of the tenant.
func Config(version int, keys []string, routes ...Route) map[string]any {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": RouteHost, "prefix": "/" + r.Name + "/", "type": r.Kind, "service": r.Service,
			"timeout_ms": r.TimeoutMS, "aim_ms": r.AimMS, "max_attempts": r.Attempts, "resumable": r.Resumable,
			"target_gap_ms": 1000, "priority": 1, "public": false, "sticky": r.Kind == "streaming",
		})
	}
	return map[string]any{
		"version": version,
		"routes":  list,
		"services": []any{
			map[string]any{"name": "ledger-app"},
			map[string]any{"name": "rosemaryhill-pool", "runtime": map[string]any{
				"slots": 16, "kv_capacity": 315000, "step_count": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
				"context_per_k": 0.00285, "read_per_s": 177000, "pairs_per_m": 0.184, "chunk": 2048,
				"usual": map[string]any{"prompt": 11000, "answer": 1600},
			}},
		},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": keys}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
