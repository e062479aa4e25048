package ticket

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"pgregory.net/rapid"
)

// gateway is one process of the world below; each restart makes another one on the same host.
type gateway struct {
	self          Self
	table         *Table
	alive, paused bool
	dialing       []*request // claimed, first byte not yet allowed
	sent          []*request
	waiting       []*request
	states        map[uint64]State
}

// request is one call of a caller that sits at gateway at, or was forwarded to another one.
type request struct {
	key, text string // key is the genuine ticket, text may be a damaged copy
	call      Call
	deadline  time.Duration
	at        *gateway
	seq       uint64
	told      bool
}

// message is in flight to a gateway, or to the service when to is nil.
type message struct {
	to  *gateway
	run func()
}

// world holds real tables and routes, a service that counts executions, and a bag of messages that
// arrive in any order, late, or never.
type world struct {
	*rapid.T
	now      time.Duration
	hosts    []*gateway // current process of each host
	all      []*gateway
	keys     []string
	bag      []message
	ran      map[string]int
	inFlight map[string]int
	denied   map[string]bool // a caller was told "not run"
	answers  map[string][]byte
	calls    map[string]Call // call that ran under the key
	open     []*request
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, ran: map[string]int{}, inFlight: map[string]int{}, denied: map[string]bool{}, answers: map[string][]byte{}, calls: map[string]Call{}}
	for i := range 2 {
		w.hosts = append(w.hosts, nil)
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	self := Self{Host: ident.HostID(fmt.Sprintf("h.%d", i)), Incarnation: ident.Incarnation(len(w.all) + 1)}
	table, err := New(Config{Host: self.Host, Incarnation: self.Incarnation, Key: bytes.Repeat([]byte{byte(len(w.all))}, 16),
		Lifetime: 10 * time.Second, Retention: 20 * time.Second, MaxRecords: 8, MaxBodyBytes: 8, MaxTotalBytes: 16})
	if err != nil {
		w.Fatal(err)
	}
	w.hosts[i] = &gateway{self: self, table: table, alive: true, states: map[uint64]State{}}
	w.all = append(w.all, w.hosts[i])
}

func pick[T any](w *world, what string, from []T) T {
	if len(from) == 0 {
		w.Skip("no " + what)
	}
	return rapid.SampledFrom(from).Draw(w.T, what)
}

// rarely skips all but one in n draws, so that longer histories come up.
func (w *world) rarely(n int) {
	if rapid.IntRange(1, n).Draw(w.T, "rare") > 1 {
		w.Skip("rare")
	}
}

func (w *world) running() *gateway {
	var up []*gateway
	for _, g := range w.hosts {
		if g.alive && !g.paused {
			up = append(up, g)
		}
	}
	return pick(w, "gateway", up)
}

func (w *world) post(to *gateway, run func()) { w.bag = append(w.bag, message{to, run}) }

// tell gives a caller its end and records what was claimed.
func (w *world) tell(r *request, e *outcome.Error, body []byte) {
	if r.told || !r.at.alive {
		return
	}
	r.told = true
	switch {
	case e == nil && (w.calls[r.key] != r.call || !bytes.Equal(body, w.answers[r.key])):
		w.Fatalf("caller of %s got the answer of another call", r.key)
	case e != nil && e.Kind == outcome.NotRun:
		w.denied[r.key] = true
	}
}

// answer goes to the caller's gateway, over the network if that is another one.
func (w *world) answer(r *request, from *gateway, e *outcome.Error, body []byte) {
	if from == r.at {
		w.tell(r, e, body)
		return
	}
	w.post(r.at, func() { w.tell(r, e, body) })
}

// begin runs a request at its executor g.
func (w *world) begin(g *gateway, r *request) {
	d := g.table.Begin(w.now, r.text, r.call, r.deadline)
	r.seq = d.Sequence
	switch d.Action {
	case Run:
		g.dialing = append(g.dialing, r)
	case Wait:
		g.waiting = append(g.waiting, r)
	case Replay:
		w.answer(r, g, nil, d.Response.Body)
	case Refuse:
		w.answer(r, g, d.Err, nil)
	}
}

// route is the decision of the gateway that the caller asked, under any view of membership.
func (w *world) route(r *request) {
	target, tk, err := Route(r.text, r.at.self, func(h ident.HostID) Executor {
		x := Executor{Member: rapid.IntRange(0, 4).Draw(w.T, "member") > 0, Reachable: rapid.IntRange(0, 4).Draw(w.T, "reachable") > 0}
		known := rapid.IntRange(0, len(w.all)).Draw(w.T, "known")
		if known < len(w.all) && w.all[known].self.Host == h {
			x.Incarnation = w.all[known].self.Incarnation
		}
		return x
	})
	switch target {
	case Reject:
		w.tell(r, err, nil)
	case Local:
		w.begin(r.at, r)
	case Forward:
		for i := range w.hosts {
			if w.hosts[i].self.Host == tk.Host {
				w.post(w.hosts[i], func() { w.begin(w.hosts[i], r) })
			}
		}
	}
}

func take(list *[]*request, r *request) {
	for i, x := range *list {
		if x == r {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
		}
	}
}

func (w *world) connect() {
	g := w.running()
	r := pick(w, "dial", g.dialing)
	take(&g.dialing, r)
	if err := g.table.FirstByte(w.now, r.seq); err != nil {
		w.answer(r, g, err, nil)
		return
	}
	if w.now >= r.deadline {
		w.Fatalf("first byte of %s left after the deadline", r.key)
	}
	g.sent = append(g.sent, r)
	w.inFlight[r.key]++
	body := bytes.Repeat([]byte{byte('a' + len(w.answers)%26)}, rapid.IntRange(0, 12).Draw(w.T, "body"))
	w.post(nil, func() {
		w.inFlight[r.key]--
		w.ran[r.key]++
		w.answers[r.key], w.calls[r.key] = body, r.call
		w.post(g, func() {
			take(&g.sent, r)
			if g.table.Finish(w.now, r.seq, Response{Status: 200, Body: body}) {
				w.answer(r, g, nil, body)
			}
		})
	})
}

func (w *world) actions() map[string]func(*rapid.T) {
	cause := outcome.Refuse("admit", outcome.TeamLimit, "")
	return map[string]func(*rapid.T){
		"issue": func(*rapid.T) {
			if len(w.keys) > 0 {
				w.rarely(4)
			}
			texts, _ := w.running().table.Issue(w.now, 1)
			w.keys = append(w.keys, texts...)
		},
		"call": func(*rapid.T) {
			r := &request{key: pick(w, "key", w.keys[max(len(w.keys)-3, 0):]), at: w.running()}
			r.text = r.key
			if rapid.IntRange(0, 9).Draw(w.T, "damage") == 0 {
				i := rapid.IntRange(0, len(r.key)-1).Draw(w.T, "position")
				r.text = r.key[:i] + rapid.SampledFrom([]string{"", "x", ".", "7"}).Draw(w.T, "with") + r.key[i+1:]
			}
			r.call = Call{Team: "t", Path: rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(w.T, "path")}
			r.deadline = w.now + time.Duration(rapid.IntRange(0, 40).Draw(w.T, "budget"))*time.Second
			w.open = append(w.open, r)
			w.route(r)
		},
		"refuse": func(*rapid.T) {
			r := &request{key: pick(w, "key", w.keys), at: w.running(), call: Call{Team: "t", Path: "p"}}
			if target, _, _ := Route(r.key, r.at.self, func(ident.HostID) Executor { return Executor{} }); target == Local {
				w.tell(r, r.at.table.Refuse(w.now, r.key, r.call, cause), nil)
			} else {
				w.tell(r, AsMayHaveRun(cause), nil)
			}
		},
		"deliver": func(*rapid.T) { w.deliver(true) },
		"arrive":  func(*rapid.T) { w.deliver(true) },
		"cut":     func(*rapid.T) { w.rarely(3); w.deliver(false) },
		"connect": func(*rapid.T) { w.connect() },
		"dial":    func(*rapid.T) { w.connect() },
		"fail": func(*rapid.T) { // a failed dial, or a connection lost after the first byte
			g := w.running()
			r := pick(w, "call", append(append([]*request(nil), g.dialing...), g.sent...))
			take(&g.dialing, r)
			take(&g.sent, r)
			w.answer(r, g, g.table.Burn(w.now, r.seq, outcome.Refuse("dial", outcome.NoBackend, "")), nil)
		},
		"wake": func(*rapid.T) {
			g := w.running()
			r := pick(w, "waiter", g.waiting)
			take(&g.waiting, r)
			w.begin(g, r)
		},
		"give up": func(*rapid.T) { // the asking gateway stops waiting for an executor
			r := pick(w, "request", w.open)
			if !r.at.paused {
				w.tell(r, ForwardFailed(Ticket{}, nil), nil)
			}
		},
		"pause": func(*rapid.T) { w.rarely(4); w.running().paused = true },
		"resume": func(*rapid.T) {
			for _, g := range w.hosts {
				g.paused = false
			}
		},
		"kill":    func(*rapid.T) { w.rarely(4); w.running().alive = false },
		"restart": func(*rapid.T) { w.rarely(2); w.start(rapid.IntRange(0, len(w.hosts)-1).Draw(w.T, "host")) },
		"time":    func(*rapid.T) { w.now += time.Duration(rapid.IntRange(1, 12).Draw(w.T, "s")) * time.Second },
		"":        func(*rapid.T) { w.check() },
	}
}

// deliver takes a message out of the bag; to a dead process it is lost, to a paused one it stays.
func (w *world) deliver(run bool) {
	if len(w.bag) == 0 {
		w.Skip("no message")
	}
	i := rapid.IntRange(0, len(w.bag)-1).Draw(w.T, "message")
	m := w.bag[i]
	if m.to != nil && m.to.paused {
		w.Skip("paused")
	}
	w.bag = append(w.bag[:i:i], w.bag[i+1:]...)
	if run && (m.to == nil || m.to.alive) {
		m.run()
	}
}

func (w *world) check() {
	for key, n := range w.ran {
		if n > 1 {
			w.Fatalf("%s ran %d times", key, n)
		}
	}
	for key := range w.denied {
		if w.ran[key] > 0 || w.inFlight[key] > 0 {
			w.Fatalf("a caller of %s was told not run, but it ran or may run", key)
		}
	}
	for _, g := range w.hosts {
		if g.table.Len() > 8 || g.table.BodyBytes() > 16 {
			w.Fatalf("table holds %d records, %d bytes", g.table.Len(), g.table.BodyBytes())
		}
		for seq := range g.table.records {
			now, _ := g.table.State(seq)
			if was := g.states[seq]; was != now && (was >= Done || (was == Issued && now != Sending && now != Burned)) {
				w.Fatalf("ticket %d went from %s to %s", seq, was, now)
			}
			g.states[seq] = now
		}
	}
}

// TestAtMostOnce guards against a posting that runs twice, a "not run" for a key that ran or may run,
// an answer that reaches another call, and a first byte after the deadline, under random orders of
// repeats at several gateways, kills, restarts, pauses, lost, late and reordered messages.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
	})
}
