package gateway

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/ring"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// Guards against a stream of many minutes that passes over a dispatcher because of a failure long ago.
func TestProgressEndsExclusionOfDispatchers(t *testing.T) {
	c := qt.New(t)
	o, err := obs.New(obs.Config{HostID: "h1", LogLevel: "info", LogTo: httptest.NewRecorder(), TraceTo: httptest.NewRecorder()})
	c.Assert(err, qt.IsNil)
	g := &Gateway{view: &view.View{}, firstToken: o.Latency("first", "class", "First."), tokens: o.Counter("tokens", "class", "Tokens.")}
	w := httptest.NewRecorder()
	s := g.newStream(w, httptest.NewRequest("POST", "/v1/generate", nil), &generation{})
	s.excluded["wavre-1"] = true
	s.answer.Start(7)
	_, ended := s.handleToken(&route{number: 7, inbox: ring.New[wire.Message](8)}, &wire.Token{Attempt: 7, N: 1, Text: "kernel"})
	c.Assert(ended, qt.IsFalse)
	c.Assert(s.excluded, qt.DeepEquals, map[ident.HostID]bool{})
	c.Assert(w.Body.String(), qt.Contains, "kernel")
}
