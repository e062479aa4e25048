// Package backendapi defines the JSON messages that engines and plain services exchange with
// rosemaryhill over HTTP. The wire format is an assumption until it is published; only this package,
// the HTTP clients and the stand-ins depend on it.
package backendapi

// Fence is the fencing number of an order. Fencing numbers are ordered by Config, then by Term.
type Fence struct {
	Config uint64 `json:"config"` // configuration version that the order is based on
	Term   uint64 `json:"term"`   // ownership term at the engine
}

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	if f.Config != g.Config {
		return f.Config < g.Config
	}
	return f.Term < g.Term
}

// SessionRequest is the body of POST /v1/sessions.
type SessionRequest struct {
	Session         string   `json:"session"`
	Issuer          string   `json:"issuer"`      // host id of the dispatcher
	Incarnation     string   `json:"incarnation"` // of the dispatcher, hexadecimal
	RemainingMS     int64    `json:"remaining_ms"`
	Prompt          string   `json:"prompt"`
	PromptTokens    int      `json:"prompt_tokens"`
	MaxOutputTokens int      `json:"max_output_tokens"`
	Priority        int      `json:"priority"`         // lower runs first
	Prefix          string   `json:"prefix,omitempty"` // cache key of the prompt's prefix
	ResumeFrom      int      `json:"resume_from,omitempty"`
	Import          []string `json:"import,omitempty"` // KV cache handles to import before prefill
	Export          bool     `json:"export,omitempty"` // prefill only, then export the KV cache
}

// StreamLine is one line of the newline-delimited JSON response to POST /v1/sessions.
type StreamLine struct {
	N     int    `json:"n,omitempty"` // token number, from 1
	Text  string `json:"text,omitempty"`
	End   bool   `json:"end,omitempty"`
	Count int    `json:"count,omitempty"` // number of the last token, set with End
	KV    string `json:"kv,omitempty"`    // handle of the exported KV cache, set with End
	Error string `json:"error,omitempty"`
}

// Session is one entry of an engine's session list.
type Session struct {
	Session        string `json:"session"`
	Issuer         string `json:"issuer"`
	Incarnation    string `json:"incarnation"`
	ReservedTokens int    `json:"reserved_tokens"`
	RemainingMS    int64  `json:"remaining_ms"` // negative after the deadline
}

// Report is the response of an engine to GET /v1/report. Engines report with a lag, so it may be out of date.
type Report struct {
	Report              uint64    `json:"report"` // increases with each report
	AgeMS               int64     `json:"age_ms"` // time since the engine measured the values
	MemoryTokens        int       `json:"memory_tokens"`
	UsedTokens          int       `json:"used_tokens"`
	QueuedPrefillTokens int       `json:"queued_prefill_tokens"`
	PrefillTokensPerS   float64   `json:"prefill_tokens_per_s"`
	Model               string    `json:"model"`
	Version             string    `json:"version"`
	Role                string    `json:"role"`
	Fence               Fence     `json:"fence"` // highest that the engine has accepted
	State               string    `json:"state"` // "live" or "leaving"
	Sessions            []Session `json:"sessions"`
	KVHandles           []string  `json:"kv_handles,omitempty"` // exported KV caches that still hold memory
}

// Cancelled is the response to DELETE /v1/sessions/{id}.
type Cancelled struct {
	Released int `json:"released"` // memory released, in tokens
}

// CacheEvent reports that an engine stored or evicted a prefix.
type CacheEvent struct {
	Number uint64 `json:"number"` // gaps mean lost events
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"` // "stored" or "evicted"
}

// CacheEvents is the response to GET /v1/cache-events?after=N.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    string `json:"kind"` // "load" or "role"
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   Fence  `json:"fence"`
	Issuer  string `json:"issuer"`
}

// OrderResult is the response to POST /v1/orders; status 409 means that the fencing number was too old.
type OrderResult struct {
	Highest Fence `json:"highest"`
}

// ServiceReport is the response of a plain service to GET /v1/report.
type ServiceReport struct {
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`  // from 0, idle, to 1, full
	State    string  `json:"state"` // "live" or "leaving"
}
