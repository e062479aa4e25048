package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

const (
	textPrefix = "rh1"
	fieldCount = 6 // prefix, host, incarnation, sequence, expiry, MAC
	// macBytes truncates the MAC to keep tickets short. 128 bits can't be guessed in a ticket's lifetime.
	macBytes = 16
	// MaxTextBytes bounds the text of a ticket, and with it the cost of parsing a header value.
	MaxTextBytes = 512
)

// Ticket is a parsed ticket text. Only its executor has the key to verify the MAC.
type Ticket struct {
	Host         ident.HostID
	Incarnation  ident.Incarnation
	Sequence     uint64
	ExpiryUnixMS int64 // milliseconds since 1970 by the issuer's clock; a hint for callers
	mac          string
	signed       string
}

// Parse parses a ticket text without verifying its MAC. For a text that isn't a ticket the error says
// "not run". For a text that resembles a ticket but doesn't parse it says "may have run", because the
// text may be a damaged copy of a ticket whose call ran.
func Parse(text string) (Ticket, *outcome.Error) {
	if text == "" {
		return Ticket{}, outcome.Refuse(step, outcome.TicketMissing, "this call needs a ticket from /v1/addresses")
	}
	if !mayBeDamagedTicket(text) {
		return Ticket{}, outcome.Refuse(step, outcome.TicketInvalid, "the text is not a ticket")
	}
	t, ok := parseFields(text)
	if !ok {
		return Ticket{}, mayHaveRun(outcome.TicketInvalid, "the ticket is damaged")
	}
	return t, nil
}

// mayBeDamagedTicket reports whether text may be a damaged copy of a ticket. A change of one character
// always leaves either the prefix or the number of dots intact.
func mayBeDamagedTicket(text string) bool {
	return strings.HasPrefix(text, textPrefix) || strings.Count(text, ".") >= fieldCount-1
}

// parseFields splits the text at dots and counts fields from the right, because a host id may contain dots.
func parseFields(text string) (t Ticket, ok bool) {
	if len(text) > MaxTextBytes {
		return t, false
	}
	p := strings.Split(text, ".")
	n := len(p)
	if n < fieldCount || p[0] != textPrefix {
		return t, false
	}
	t.Host = ident.HostID(strings.Join(p[1:n-4], "."))
	inc, err := ident.ParseIncarnation(p[n-4])
	if err != nil || t.Host == "" {
		return t, false
	}
	t.Incarnation = inc
	if t.Sequence, err = strconv.ParseUint(p[n-3], 10, 64); err != nil {
		return t, false
	}
	if t.ExpiryUnixMS, err = strconv.ParseInt(p[n-2], 10, 64); err != nil {
		return t, false
	}
	t.mac = p[n-1]
	t.signed = text[:len(text)-len(t.mac)-1]
	return t, len(t.mac) == base64.RawURLEncoding.EncodedLen(macBytes)
}

// formatSigned returns the text of t, signed with key.
func formatSigned(key []byte, t Ticket) string {
	signed := strings.Join([]string{
		textPrefix,
		string(t.Host),
		t.Incarnation.String(),
		strconv.FormatUint(t.Sequence, 10),
		strconv.FormatInt(t.ExpiryUnixMS, 10),
	}, ".")
	return signed + "." + sign(key, signed)
}

func sign(key []byte, signed string) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(signed))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// hasValidMAC compares MACs in encoded form: decoding would accept several texts for one MAC.
func (t Ticket) hasValidMAC(key []byte) bool {
	return hmac.Equal([]byte(t.mac), []byte(sign(key, t.signed)))
}
