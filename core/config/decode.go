package config

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	nonEmpty    = "a non-empty string"
	maxRate     = 1e9  // requests or tokens per second
	minRate     = 1e-6 // same unit; zero isn't allowed: a team that may send nothing is removed instead
	maxPriority = 1_000
	maxMemory   = 1 << 40 // tokens
)

func decodeModel(path string, raw json.RawMessage, ps *Problems) (m Model) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return m
	}
	m.Version = o.stringValue("version", true, nonEmpty, isNonEmpty)
	m.MaxPromptTokens = o.integer("max_prompt_tokens", true, 1, MaxPromptTokens)
	m.Adapters = o.stringList("adapters", nonEmpty, isNonEmpty)
	o.reportUnknownKeys()
	return m
}

func decodeTeam(path string, raw json.RawMessage, ps *Problems) (t Team) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return t
	}
	t.RatePerS = o.number("rate_per_s", true, minRate, maxRate)
	t.TokensPerS = o.number("tokens_per_s", true, minRate, maxRate)
	t.Priority = o.integer("priority", false, 0, maxPriority)
	for _, m := range o.stringList("models", nonEmpty, isNonEmpty) {
		t.Models = append(t.Models, ident.Model(m))
	}
	t.KeySHA256 = o.stringValue("key_sha256", false, "64 lower-case hexadecimal digits", isSHA256)
	o.reportUnknownKeys()
	return t
}

func isSHA256(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

func decodeServer(path string, raw json.RawMessage, ps *Problems) (s BackendServer) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return s
	}
	valid, accept := oneOf(KindEngine, KindService)
	s.Kind = o.stringValue("kind", true, valid, accept)
	s.Address = o.stringValue("address", true, "an IP address and port, such as 10.0.0.1:8000", isAddress)
	s.AvailabilityZone = ident.Zone(o.stringValue("availability_zone", true, nonEmpty, isNonEmpty))
	switch s.Kind {
	case KindEngine:
		s.decodeEngine(o)
	case KindService:
		s.Service = o.stringValue("service", true, "the name of a service", isNonEmpty)
	default:
		return s // the valid keys depend on the kind
	}
	o.reportUnknownKeys()
	return s
}

func (s *BackendServer) decodeEngine(o *object) {
	s.Group = o.stringValue("group", true, nonEmpty, isNonEmpty)
	s.Model = ident.Model(o.stringValue("model", true, "the name of a model", isNonEmpty))
	s.MemoryTokens = o.integer("memory_tokens", true, 1, maxMemory)
	valid, accept := oneOf(FencingHonoured, FencingIgnored)
	s.Fencing = o.stringValue("fencing", false, valid, accept)
	if s.Fencing == "" {
		s.Fencing = FencingIgnored
	}
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func decodeService(path string, raw json.RawMessage, ps *Problems) (s Service) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return s
	}
	valid, accept := oneOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
	s.IdempotentMethods = o.stringList("idempotent_methods", valid, accept)
	o.reportUnknownKeys()
	return s
}

func decodePolicy(path string, raw json.RawMessage, ps *Problems) (p Policy) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return p
	}
	valid, accept := oneOf(PolicyPredict, PolicyRoundRobin, PolicyLeastOutstanding)
	p.Name = o.stringValue("name", false, valid, accept)
	p.BatchMemoryShare = o.number("batch_memory_share", false, minShare, 1)
	p.BatchEngineShare = o.number("batch_engine_share", false, minShare, 1)
	o.reportUnknownKeys()
	return p
}

// minShare is the smallest batch share, as a fraction. It keeps batch work running: with a share of zero,
// admitted prompts could never be sent.
const minShare = 0.01
