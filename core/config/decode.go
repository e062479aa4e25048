package config

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	nonEmpty    = "a non-empty string"
	maxRate     = 1e9
	minRate     = 1e-6 // a team that may send nothing is removed, not given a rate of zero
	maxPriority = 1_000
	maxMemory   = 1 << 40
)

func decodeModel(path string, raw json.RawMessage, ps *Problems) (m Model) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return m
	}
	m.Version = o.text("version", true, nonEmpty, filled)
	m.MaxPromptTokens = o.whole("max_prompt_tokens", true, 1, MaxPromptTokens)
	m.Adapters = o.texts("adapters", nonEmpty, filled)
	o.close()
	return m
}

func decodeTeam(path string, raw json.RawMessage, ps *Problems) (t Team) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return t
	}
	t.RatePerS = o.number("rate_per_s", true, minRate, maxRate)
	t.TokensPerS = o.number("tokens_per_s", true, minRate, maxRate)
	t.Priority = o.whole("priority", false, 0, maxPriority)
	for _, m := range o.texts("models", nonEmpty, filled) {
		t.Models = append(t.Models, ident.Model(m))
	}
	t.KeySHA256 = o.text("key_sha256", false, "64 lower-case hexadecimal digits", isSHA256)
	o.close()
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
	s.Kind = o.text("kind", true, valid, accept)
	s.Address = o.text("address", true, "an IP address and port, such as 10.0.0.1:8000", isAddress)
	s.AvailabilityZone = ident.Zone(o.text("availability_zone", true, nonEmpty, filled))
	switch s.Kind {
	case KindEngine:
		s.decodeEngine(o)
	case KindService:
		s.Service = o.text("service", true, "the name of a service", filled)
	default:
		return s // which keys belong to it is unknown
	}
	o.close()
	return s
}

func (s *BackendServer) decodeEngine(o *object) {
	s.Group = o.text("group", true, nonEmpty, filled)
	s.Model = ident.Model(o.text("model", true, "the name of a model", filled))
	s.MemoryTokens = o.whole("memory_tokens", true, 1, maxMemory)
	valid, accept := oneOf(FencingHonoured, FencingIgnored)
	s.Fencing = o.text("fencing", false, valid, accept)
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
	s.IdempotentMethods = o.texts("idempotent_methods", valid, accept)
	o.close()
	return s
}

func decodePolicy(path string, raw json.RawMessage, ps *Problems) (p Policy) {
	o, ok := readObject(path, raw, ps)
	if !ok {
		return p
	}
	valid, accept := oneOf(PolicyPredict, PolicyRoundRobin, PolicyLeastOutstanding)
	p.Name = o.text("name", false, valid, accept)
	p.BatchMemoryShare = o.number("batch_memory_share", false, minShare, 1)
	p.BatchEngineShare = o.number("batch_engine_share", false, minShare, 1)
	o.close()
	return p
}

// minShare keeps batch work running; a share of zero would admit prompts that can never be sent.
const minShare = 0.01
