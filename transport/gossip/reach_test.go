package gossip

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// Guards against corrupt datagrams that cause a panic, and against values that change in a round trip or do not fit a datagram.
func TestReachDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _, _ = decodeReach(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes"))
		incarnation := ident.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
		sent := peers.Reach{
			Unreachable: rapid.SliceOfN(rapid.Uint32(), 1, maxReach).Draw(t, "services"),
			Validity:    time.Duration(rapid.IntRange(0, maxValidityMS).Draw(t, "ms")) * time.Millisecond,
		}
		w := pack.NewWriter()
		encodeReach(w, incarnation, sent)
		from, got, err := decodeReach(w.Buf)
		if err != nil || from != incarnation || !reflect.DeepEqual(got, sent) {
			t.Fatalf("%+v became %+v, %v", sent, got, err)
		}
		if len(w.Buf) >= MaxDatagram {
			t.Fatalf("%d bytes", len(w.Buf))
		}
	})
}
