package engine

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// Answer is the deterministic answer to a prompt. Token n depends only on the prompt and n, so a resumed
// stream continues with the same text on any engine.
type Answer struct{ digest digest }

// AnswerTo returns the answer to a whole prompt.
func AnswerTo(prompt string) Answer { return Answer{digest{}.add(prompt)} }

// Token returns the text of token n; the first token is 1.
func (a Answer) Token(n int) string {
	return fmt.Sprintf("%06x ", mix(a.digest.sum+uint64(n)*0x9e3779b97f4a7c15)&0xffffff)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// digest is a polynomial hash modulo the prime 2^61-1. The digest of a concatenation can be computed from
// the digests of its parts, so the segments of a gang, which are prefilled on different engines, give the
// same answer as the whole prompt.
type digest struct {
	sum   uint64
	bytes int
}

const (
	prime = 1<<61 - 1
	base  = 0x1d8af066c5f4e3
)

func mulmod(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	s := lo&prime + (lo>>61 | hi<<3)
	if s >= prime {
		s -= prime
	}
	return s
}

func (d digest) add(text string) digest {
	for i := range len(text) {
		d.sum = mulmod(d.sum, base) + uint64(text[i]) + 1
		if d.sum >= prime {
			d.sum -= prime
		}
	}
	d.bytes += len(text)
	return d
}

func (d digest) concat(e digest) digest {
	power, factor := uint64(1), uint64(base)
	for n := e.bytes; n > 0; n >>= 1 {
		if n&1 == 1 {
			power = mulmod(power, factor)
		}
		factor = mulmod(factor, factor)
	}
	return digest{sum: (mulmod(d.sum, power) + e.sum) % prime, bytes: d.bytes + e.bytes}
}

// handle returns the handle of an exported KV cache, "<session>~<engine>~<sum in hex>.<bytes>".
func (d digest) handle(session, engine string) string {
	return fmt.Sprintf("%s~%s~%x.%d", session, engine, d.sum, d.bytes)
}

var errInvalidHandle = errors.New("malformed KV handle")

// parseHandle returns the engine ID and the digest in a handle.
func parseHandle(h string) (engine string, d digest, err error) {
	parts := strings.Split(h, "~")
	if len(parts) < 3 {
		return "", d, errInvalidHandle
	}
	sum, size, ok := strings.Cut(parts[len(parts)-1], ".")
	if !ok {
		return "", d, errInvalidHandle
	}
	if d.sum, err = strconv.ParseUint(sum, 16, 64); err != nil || d.sum >= prime {
		return "", d, errInvalidHandle
	}
	if d.bytes, err = strconv.Atoi(size); err != nil || d.bytes < 0 {
		return "", d, errInvalidHandle
	}
	return parts[len(parts)-2], d, nil
}
