// Package config applies the platform's log of numbered entries in order and holds the accepted
// configuration. The result depends only on the log: processes that read the same log accept the same
// versions, no matter when and in which portions they read it.
package config

import (
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// MaxPromptTokens is the upper bound of Model.MaxPromptTokens.
const MaxPromptTokens = 1_000_000

// Config is an accepted configuration. Readers share it and must not modify it.
type Config struct {
	Version        ident.Version
	Digest         Digest
	Models         map[ident.Model]Model
	Teams          map[ident.Team]Team
	BackendServers map[ident.BackendID]BackendServer
	Services       map[string]Service
	Policy         Policy
}

// Model holds the deployed version of a language model, its longest prompt and its adapters.
type Model struct {
	Version         string   `json:"version"`
	MaxPromptTokens int      `json:"max_prompt_tokens"`
	Adapters        []string `json:"adapters,omitempty"`
}

// Team holds the rate limits, priority and access rights of a group of callers.
type Team struct {
	RatePerS   float64       `json:"rate_per_s"`   // requests per second
	TokensPerS float64       `json:"tokens_per_s"` // prompt and output tokens per second
	Priority   int           `json:"priority"`     // 0 to 1000, lower runs first
	Models     []ident.Model `json:"models,omitempty"`
	KeySHA256  string        `json:"key_sha256,omitempty"` // lower-case hexadecimal; if empty, the team needs no key
}

// MayUse reports whether the team may use a model. A team without a list of models may use all of them.
func (t Team) MayUse(m ident.Model) bool {
	return len(t.Models) == 0 || slices.Contains(t.Models, m)
}

// Kinds of backend server.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Values of BackendServer.Fencing.
const (
	FencingHonoured = "honoured" // the engine refuses orders with an old fencing number
	FencingIgnored  = "ignored"  // the engine accepts every order; the default, because it is handled more cautiously
)

// BackendServer is an engine or an instance of a plain service.
type BackendServer struct {
	Kind             string      `json:"kind"`
	Address          string      `json:"address"` // IP address and port
	AvailabilityZone ident.Zone  `json:"availability_zone"`
	Group            string      `json:"group,omitempty"`         // engine group, engines only
	Model            ident.Model `json:"model,omitempty"`         // engines only
	MemoryTokens     int         `json:"memory_tokens,omitempty"` // engines only
	Service          string      `json:"service,omitempty"`       // services only
	Fencing          string      `json:"fencing,omitempty"`       // engines only
}

// Service holds the settings of a plain service.
type Service struct {
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
}

// Idempotent reports whether calls with a method may be repeated and so need no ticket. Without a list,
// these are GET and HEAD.
func (s Service) Idempotent(method string) bool {
	if len(s.IdempotentMethods) == 0 {
		return method == "GET" || method == "HEAD"
	}
	return slices.Contains(s.IdempotentMethods, method)
}

// Policy selects the scheduling policy. Zero fields take the scheduler's defaults.
type Policy struct {
	Name             string  `json:"name,omitempty"`
	BatchMemoryShare float64 `json:"batch_memory_share,omitempty"` // above 0, at most 1
	BatchEngineShare float64 `json:"batch_engine_share,omitempty"` // above 0, at most 1
}

// Scheduling policies.
const (
	PolicyPredict          = "predict"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
)
