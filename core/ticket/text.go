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
	prefix = "rh1"
	fields = 6 // prefix, host, incarnation, sequence, expiry, mac
	// macBytes keeps a ticket short; 128 bits can't be guessed within a ticket's life.
	macBytes = 16
	// MaxTextBytes bounds the text of a ticket in bytes, so that parsing a header value has a fixed cost.
	MaxTextBytes = 512
)

// Ticket is the content of a ticket text. Only its executor can tell whether the text is genuine.
type Ticket struct {
	Host         ident.HostID
	Incarnation  ident.Incarnation
	Sequence     uint64
	ExpiryUnixMS int64 // milliseconds since 1970 by the issuer's clock; a hint for callers
	mac          string
	signed       string
}

// Parse reads a ticket text without checking its mac. A text that is no ticket at all ends "not run".
// A text that resembles a ticket but doesn't parse ends "may have run", because it may be a damaged
// copy of a ticket that ran.
func Parse(text string) (Ticket, *outcome.Error) {
	if text == "" {
		return Ticket{}, outcome.Refuse(step, outcome.TicketMissing, "this call needs a ticket from /v1/addresses")
	}
	if !resembles(text) {
		return Ticket{}, outcome.Refuse(step, outcome.TicketInvalid, "the text is not a ticket")
	}
	t, ok := split(text)
	if !ok {
		return Ticket{}, mayHaveRun(outcome.TicketInvalid, "the ticket is damaged")
	}
	return t, nil
}

// resembles reports whether text may be a damaged ticket. Each change of one character leaves the
// prefix or the number of dots in place.
func resembles(text string) bool {
	return strings.HasPrefix(text, prefix) || strings.Count(text, ".") >= fields-1
}

// split reads the fields from the right, because a host id may contain dots.
func split(text string) (t Ticket, ok bool) {
	if len(text) > MaxTextBytes {
		return t, false
	}
	p := strings.Split(text, ".")
	n := len(p)
	if n < fields || p[0] != prefix {
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

// seal writes the text of a ticket and signs it with key.
func seal(key []byte, t Ticket) string {
	signed := strings.Join([]string{
		prefix,
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

// genuine compares the encoded form: decoding would accept several texts for one mac.
func (t Ticket) genuine(key []byte) bool {
	return hmac.Equal([]byte(t.mac), []byte(sign(key, t.signed)))
}
