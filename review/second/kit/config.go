package kit

import "fmt"

// Names of the configuration that the tests use.
const (
	ModelService = "ticket-model"
	PlainService = "ledger"
	RouteHost    = "ticket.example"
	FloorPrefix  = "/floor/"
	PayPrefix    = "/pay/"
	LookupPrefix = "/lookup/"
	LongPrefix   = "/dossier/"
	Key          = "n2ctnfzs989anu6wsjnb"
	Tenant       = "hule930"
)

// Route is a route as the operator writes it.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Type        string `json:"type"`
	TimeoutMS   int    `json:"timeout_ms"`
	AimMS       int    `json:"aim_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky,omitempty"`
	Resumable   bool   `json:"resumable,omitempty"`
	TargetGapMS int    `json:"target_gap_ms,omitempty"`
}

// Config is a configuration as the operator writes it.
type Config struct {
	Version  uint64           `json:"version"`
	Routes   []Route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// NewConfig returns the configuration of a small deployment: the figures are those of the sheet of ort-ordini-grown.
func NewConfig() *Config {
	c := &Config{Version: 7}
	c.Routes = []Route{
		{Name: "r-floor", Host: RouteHost, Prefix: FloorPrefix, Type: "streaming", TimeoutMS: 10000, AimMS: 250, Priority: 0,
			Service: ModelService, MaxAttempts: 2, Sticky: true, Resumable: true, TargetGapMS: 250},
		{Name: "r-long", Host: RouteHost, Prefix: LongPrefix, Type: "streaming", TimeoutMS: 15000, AimMS: 8000, Priority: 2,
			Service: ModelService, MaxAttempts: 2, Sticky: true, Resumable: true, TargetGapMS: 1000},
		{Name: "r-pay", Host: RouteHost, Prefix: PayPrefix, Type: "unsafe", TimeoutMS: 800, AimMS: 200, Priority: 2,
			Service: PlainService, MaxAttempts: 1},
		{Name: "r-lookup", Host: RouteHost, Prefix: LookupPrefix, Type: "safe", TimeoutMS: 800, AimMS: 150, Priority: 2,
			Service: PlainService, MaxAttempts: 2},
	}
	c.Services = []map[string]any{
		{"name": ModelService, "health_path": "/healthz", "max_conns": 768, "protocol": "h1", "tls": false, "runtime": map[string]any{
			"slots": 12, "kv_capacity": 267750, "step_count": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
			"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
			"usual": map[string]any{"prompt": 11121, "answer": 1622},
		}},
		{"name": PlainService, "health_path": "/healthz", "max_conns": 590, "protocol": "h1", "tls": false},
	}
	c.Limits = map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}
	c.Tenants = []map[string]any{{"name": Tenant, "api_keys": []string{Key}, "priority": 1}}
	return c
}

// Grow adds routes, as the impairment big_config does.
func (c *Config) Grow(n int) {
	for range n {
		i := len(c.Routes)
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprintf("r-%06d", i), Host: RouteHost, Prefix: fmt.Sprintf("/added%06d/", i), Type: "safe", TimeoutMS: 800,
			AimMS: 150, Priority: 2, Service: PlainService, MaxAttempts: 2,
		})
	}
}
