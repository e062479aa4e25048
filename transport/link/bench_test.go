package link

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// Measures the whole path of a Token over loopback: ring, encoder, socket, decoder, handler.
func BenchmarkTokenOverLoopback(b *testing.B) {
	c := qt.New(b)
	got := make(chan struct{}, 1024)
	rec := &countingHandler{got: got}
	s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", &countingHandler{})
	cl := startClient(c, testConfig("g1", RoleGateway), rec)
	cl.Add("d0", s.Addr())
	eventually(c, "up", func() bool { return len(cl.Peers()) == 1 && len(s.Peers()) == 1 })
	p := s.Peers()[0]
	const window = 512 // messages under way, half of the outbound ring
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Send(&wire.Token{Attempt: 88_121, N: n, Text: " kernel"}); err != nil {
			b.Fatal(err)
		}
		if n++; n > window {
			<-got
		}
	}
	b.ReportMetric(float64(s.Stats().BytesOut)/float64(s.Stats().FramesOut), "B/frame")
}

type countingHandler struct{ got chan struct{} }

func (h *countingHandler) OnUp(*Peer) {}
func (h *countingHandler) OnMessage(*Peer, wire.Message) {
	if h.got != nil {
		h.got <- struct{}{}
	}
}
func (h *countingHandler) OnDown(*Peer, error) {}
