package sched

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// SessionID has the form "issuer.incarnation.number". A dispatcher never reuses a number, so a retry of
// an attempt is a new session and a late answer to the first session cannot be taken for one to the retry.
type SessionID string

// NewSessionID builds a session id.
func NewSessionID(issuer ident.HostID, inc ident.Incarnation, number uint64) SessionID {
	return SessionID(string(issuer) + "." + inc.String() + "." + strconv.FormatUint(number, 10))
}

// Parse splits a session id. The issuer may itself contain dots.
func (s SessionID) Parse() (issuer ident.HostID, inc ident.Incarnation, number uint64, err error) {
	parts := strings.Split(string(s), ".")
	if len(parts) < 3 {
		return "", 0, 0, fmt.Errorf("session id %q: want issuer.incarnation.number", string(s))
	}
	n := len(parts)
	if inc, err = ident.ParseIncarnation(parts[n-2]); err != nil {
		return "", 0, 0, err
	}
	if number, err = strconv.ParseUint(parts[n-1], 10, 64); err != nil {
		return "", 0, 0, fmt.Errorf("session id %q: %w", string(s), err)
	}
	return ident.HostID(strings.Join(parts[:n-2], ".")), inc, number, nil
}

// PrefixBytes is the length of the prompt prefix that determines its cache key: 1,024 tokens. With a
// shorter one, unrelated prompts that share only a system line would have the same key.
const PrefixBytes = 1024 * ident.BytesPerToken

// PrefixKey returns the cache key of a prompt, or "" if it is too short for a reuse to matter.
func PrefixKey(prompt []byte) string {
	if len(prompt) < PrefixBytes {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(prompt[:PrefixBytes]), 16)
}
