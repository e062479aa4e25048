package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Key is the hash that identifies an engine in messages between hosts.
type Key uint32

// KeyOf returns the key of a backend server.
func KeyOf(id ident.BackendID) Key { return Key(xxhash.Sum64String(string(id))) }

// Class is a set of streams with one pause objective.
type Class struct {
	MaxPause time.Duration
	Streams  int
	Worth    float64 // of all streams together
}

// Load is the load that one host has placed on one engine.
type Load struct {
	Classes []Class // by pause objective, shortest first
	Tokens  int     // KV cache memory of prompts and answers, in tokens
}

// streams returns the number of streams in all classes.
func (l *Load) streams() int {
	n := 0
	for _, c := range l.Classes {
		n += c.Streams
	}
	return n
}

// add changes the load by one stream; sign is 1 or -1.
func (l *Load) add(maxPause time.Duration, worth float64, sign int) {
	i, found := slices.BinarySearchFunc(l.Classes, maxPause, func(c Class, p time.Duration) int { return int(c.MaxPause - p) })
	if !found {
		l.Classes = slices.Insert(l.Classes, i, Class{MaxPause: maxPause})
	}
	c := &l.Classes[i]
	c.Streams += sign
	c.Worth += float64(sign) * worth
	if c.Streams <= 0 {
		l.Classes = slices.Delete(l.Classes, i, i+1)
	}
}

// clone returns a deep copy, which later changes of the table do not affect.
func (l *Load) clone() Load { return Load{Classes: slices.Clone(l.Classes), Tokens: l.Tokens} }

// PrefillChange is prefill time that a host has added to an engine's backlog; a negative number removes the prefill of a
// cancelled request.
type PrefillChange struct {
	Engine Key
	MS     float64
}

// EngineLoad is the load of the sending host on an engine.
type EngineLoad struct {
	Engine Key
	Load   Load
}

// Update is the change of load that a host sends to its peers.
type Update struct {
	Prefills []PrefillChange
	Loads    []EngineLoad
}
