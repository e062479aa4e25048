// Package ident holds the identifiers that messages, logs and decisions share.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
)

// HostID names an entry host, as published in the host list and set in its settings.
type HostID string

// BackendID names a backend server (an engine or a plain service instance).
type BackendID string

// Team names a group of callers with limits and a priority.
type Team string

// Model names a language model of the configuration.
type Model string

// Zone names an availability zone.
type Zone string

// Incarnation is a random number that a process chooses at each start. A restarted process under
// the same address has another incarnation, so state of the dead process is never taken for its own.
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

// ParseIncarnation reads the form that String writes.
func ParseIncarnation(s string) (Incarnation, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("incarnation %q: %w", s, err)
	}
	return Incarnation(v), nil
}

// Version numbers an accepted configuration; it equals the number of the last accepted entry.
type Version uint64

// Class is the scheduling class of a request.
type Class uint8

// Scheduling classes, most urgent first.
const (
	Interactive Class = iota
	Standard
	Batch
)

// Prompt size limits in tokens that choose a class when the caller names none.
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

// String returns the name of the class as it stands in the caller interface.
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

// ParseClass reads a class name; ok is false for an unknown one.
func ParseClass(s string) (c Class, ok bool) {
	for _, c := range []Class{Interactive, Standard, Batch} {
		if c.String() == s {
			return c, true
		}
	}
	return 0, false
}

// BytesPerToken is the estimate that turns prompt bytes into tokens.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a prompt of n bytes, rounded up.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
