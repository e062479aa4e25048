package gossip

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// Guards against corrupt datagrams of published limits that cause a panic, and against values that change in a round trip.
func TestPublishedLimitsDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _, _ = decodePublished(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes"))
		incarnation := ident.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
		u := serverlimit.Update{Published: []serverlimit.PublishedUpdate{{
			Server: ident.BackendID(rapid.StringN(0, -1, maxString).Draw(t, "server")), Started: rapid.Int64().Draw(t, "started"),
			Left: time.Duration(rapid.IntRange(0, 600_000).Draw(t, "left")) * time.Millisecond, AsOf: ident.Revision(rapid.Uint64().Draw(t, "as of")),
			Series: rapid.Uint32().Draw(t, "series"), Counting: time.Duration(rapid.IntRange(0, maxAgeMS).Draw(t, "counting")) * time.Millisecond,
			Count: rapid.Uint64().Draw(t, "count"), Level: float64(rapid.Float32Range(-1e9, 1e9).Draw(t, "level")),
		}}}
		w := pack.NewWriter()
		encodePublished(w, incarnation, u)
		from, got, err := decodePublished(w.Buf)
		if err != nil || from != incarnation || !reflect.DeepEqual(got, u) {
			t.Fatalf("%+v became %+v, %v", u, got, err)
		}
		if overhead := 10; len(w.Buf) > u.Bytes()+overhead {
			t.Fatalf("%d bytes of %d at most", len(w.Buf), u.Bytes()+overhead)
		}
	})
}

// Guards against corrupt datagrams that cause a panic, against limits that change in a round trip, and against updates that
// are longer than they say.
func TestLimitsDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		_, _, _ = decodeLimits(b)
	})
	age := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, maxAgeMS).Draw(t, "ms")) * time.Millisecond
	})
	number := rapid.Float32Range(-1e9, 1e9)
	rapid.Check(t, func(t *rapid.T) {
		incarnation := ident.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
		var u serverlimit.Update
		for range rapid.IntRange(0, 5).Draw(t, "servers") {
			u.Servers = append(u.Servers, serverlimit.ServerUpdate{
				Server: ident.BackendID(rapid.StringN(0, -1, maxString).Draw(t, "server")), Started: rapid.Int64().Draw(t, "started"),
				Statement: serverlimit.Statement{Limited: rapid.Bool().Draw(t, "limited"), PerSecond: float64(number.Draw(t, "limit"))},
				Age:       age.Draw(t, "age"), Series: rapid.Uint32().Draw(t, "series"), Counting: age.Draw(t, "counting"),
				Count: rapid.Uint64().Draw(t, "count"), Level: float64(number.Draw(t, "level")),
			})
		}
		w := pack.NewWriter()
		encodeLimits(w, incarnation, u)
		from, got, err := decodeLimits(w.Buf)
		if err != nil || from != incarnation || !reflect.DeepEqual(got, u) {
			t.Fatalf("%+v became %+v, %v", u, got, err)
		}
		if overhead := 10; len(w.Buf) > u.Bytes()+overhead {
			t.Fatalf("%d bytes of %d at most", len(w.Buf), u.Bytes()+overhead)
		}
	})
}
