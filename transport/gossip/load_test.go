package gossip

import (
	"context"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// loadRecorder records the load reports that it receives.
type loadRecorder struct{ got chan LoadReport }

func (loadRecorder) OnChange(member.Action) {}

func (s loadRecorder) OnLoad(_ member.Addr, r LoadReport) { s.got <- r }

// Guards against a long report that is truncated to the size of one datagram.
func TestLongReportArrivesInParts(t *testing.T) {
	c := qt.New(t)
	recorder := loadRecorder{make(chan LoadReport, 100)}
	listen := func(id member.ID, h Handler) *Service {
		s, err := Listen(member.Config{Self: id, Zone: "z", Incarnation: 1}, "127.0.0.1:0", h)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = s.Close(context.Background()) })
		return s
	}
	from, to := listen("a/entry", loadRecorder{}), listen("b/entry", recorder)
	r := LoadReport{Status: peers.Status{Incarnation: 7, Ready: true, Config: 3, Revision: 9}}
	for i := range 70 {
		r.Update.Loads = append(r.Update.Loads, placement.EngineLoad{Engine: placement.Key(i), Load: placement.Load{
			Tokens: 1 << 20, Classes: []placement.Class{{MaxPause: time.Second, Streams: 9, Worth: 4.5}, {MaxPause: 2 * time.Second, Streams: 1, Worth: 1}},
		}})
	}
	r.Update.Prefills = []placement.PrefillChange{{Engine: 5, MS: -12.5}}
	from.SendLoad([]member.Addr{to.Addr()}, r)
	loads, prefills := 0, 0
	for loads < 70 {
		select {
		case got := <-recorder.got:
			c.Assert(got.Revision, qt.Equals, ident.Revision(9))
			loads += len(got.Update.Loads)
			prefills += len(got.Update.Prefills)
		case <-time.After(5 * time.Second):
			c.Fatalf("%d of 70 loads arrived", loads)
		}
	}
	c.Assert(prefills, qt.Equals, 1)
	c.Assert(from.Stats().SendFailures, qt.Equals, uint64(0))
}

// Guards against corrupt datagrams that cause a panic, and against reports that change in a round trip.
func TestLoadReportDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		_, _ = decodeLoad(b)
	})
	rapid.Check(t, func(t *rapid.T) {
		r := LoadReport{
			Status:   peers.Status{Incarnation: 1, Ready: rapid.Bool().Draw(t, "ready"), Revision: ident.Revision(rapid.Uint64().Draw(t, "revision"))},
			Validity: time.Duration(rapid.IntRange(0, maxValidityMS).Draw(t, "validity")) * time.Millisecond,
		}
		for range rapid.IntRange(0, 5).Draw(t, "loads") {
			r.Update.Loads = append(r.Update.Loads, placement.EngineLoad{
				Engine: placement.Key(rapid.Uint32().Draw(t, "engine")), Load: placement.Load{Tokens: rapid.IntRange(0, 1<<30).Draw(t, "tokens")},
			})
		}
		w := pack.NewWriter()
		encodeLoad(w, r)
		got, err := decodeLoad(w.Buf)
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("%+v became %+v, %v", r, got, err)
		}
	})
}
