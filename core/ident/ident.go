// Package ident defines the identifiers used in messages, logs and scheduling decisions.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
)

// HostID identifies an entry host, as published in the host list and configured in its settings.
type HostID string

// BackendID identifies a backend server: an engine or an instance of an ordinary service.
type BackendID string

// Team names a group of callers with limits and a priority.
type Team string

// Model names a language model of the configuration.
type Model string

// Zone names an availability zone.
type Zone string

// Incarnation is a random number that a process chooses at each start. A process that restarts under the
// same address has a different incarnation, so the state of the previous process is never attributed
// to it.
type Incarnation uint64

// NewIncarnation returns a random incarnation that is never zero. Zero means "unknown".
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(fmt.Sprintf("ident: system random source failed: %v", err))
		}
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return Incarnation(v)
		}
	}
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ParseIncarnation parses the format written by String.
func ParseIncarnation(s string) (Incarnation, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("incarnation %q: %w", s, err)
	}
	return Incarnation(v), nil
}

// Version is the version number of an accepted configuration: the number of its last accepted entry.
type Version uint64

// Class is the scheduling class of a request.
type Class uint8

// Scheduling classes in descending order of urgency.
const (
	Interactive Class = iota
	Standard
	Batch
)

// Prompt size limits in tokens that determine the class of a request whose caller does not set one.
const (
	InteractiveMaxTokens = 8_192
	BatchMinTokens       = 100_001
)

// ClassOf returns the default class for a prompt of the given number of tokens.
func ClassOf(promptTokens int) Class {
	switch {
	case promptTokens <= InteractiveMaxTokens:
		return Interactive
	case promptTokens >= BatchMinTokens:
		return Batch
	default:
		return Standard
	}
}

// String returns the name of the class as used in the API for callers.
func (c Class) String() string {
	switch c {
	case Interactive:
		return "interactive"
	case Standard:
		return "standard"
	case Batch:
		return "batch"
	default:
		return "class(" + strconv.Itoa(int(c)) + ")"
	}
}

// ParseClass parses a class name; ok is false if the name is unknown.
func ParseClass(s string) (c Class, ok bool) {
	for _, c := range []Class{Interactive, Standard, Batch} {
		if c.String() == s {
			return c, true
		}
	}
	return 0, false
}

// BytesPerToken is the number of prompt bytes that are estimated to make up one token.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a prompt of n bytes, rounded up.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
