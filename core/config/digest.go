package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"
)

// Digest identifies the content of a configuration. It is the sum modulo 2^256 of the SHA-256 of each
// member, so that the cost of updating it depends only on the members that a patch names.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// memberDigest returns the hash of section, key and the canonical JSON of a value.
func memberDigest(section, key string, value any) Digest {
	body, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("config: cannot encode validated value of %s %q: %v", section, key, err))
	}
	h := sha256.New()
	for _, s := range []string{section, key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}

func (d *Digest) add(o Digest)      { d.combine(o, bits.Add64) }
func (d *Digest) subtract(o Digest) { d.combine(o, bits.Sub64) }

func (d *Digest) combine(o Digest, op func(x, y, carry uint64) (uint64, uint64)) {
	var carry uint64
	for i := len(d) - 8; i >= 0; i -= 8 {
		var v uint64
		v, carry = op(binary.BigEndian.Uint64(d[i:]), binary.BigEndian.Uint64(o[i:]), carry)
		binary.BigEndian.PutUint64(d[i:], v)
	}
}
