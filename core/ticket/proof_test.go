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

// gateway is one process of the simulation; a restart adds a new process on the same host.
type gateway struct {
	self          Self
	table         *Table
	alive, paused bool
	dialing       []*request // claimed, first byte not yet allowed
	sent          []*request
	waiting       []*request
	states        map[uint64]State
}

// request is one call that a caller sent to gateway at, which may have forwarded it.
type request struct {
	key, text string // key is the ticket as issued, text may be a damaged copy
	call      Call
	deadline  time.Duration
	at        *gateway
	seq       uint64
	answered  bool
}

// message is in transit to a gateway, or to the service if to is nil.
type message struct {
	to  *gateway
	run func()
}

// simulation runs the real Table and Route against a service that counts executions. Messages arrive in
// any order, late, or never.
type simulation struct {
	*rapid.T
	now        time.Duration
	current    []*gateway // current process of each host
	gateways   []*gateway
	keys       []string
	inTransit  []message
	executions map[string]int
	inFlight   map[string]int
	toldNotRun map[string]bool // a caller got "not run"
	answers    map[string][]byte
	calls      map[string]Call // call that ran with the key
	requests   []*request
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, executions: map[string]int{}, inFlight: map[string]int{}, toldNotRun: map[string]bool{}, answers: map[string][]byte{}, calls: map[string]Call{}}
	for i := range 2 {
		w.current = append(w.current, nil)
		w.start(i)
	}
	return w
}

func (w *simulation) start(i int) {
	self := Self{Host: ident.HostID(fmt.Sprintf("h.%d", i)), Incarnation: ident.Incarnation(len(w.gateways) + 1)}
	table, err := New(Config{Host: self.Host, Incarnation: self.Incarnation, Key: bytes.Repeat([]byte{byte(len(w.gateways))}, 16),
		Lifetime: 10 * time.Second, Retention: 20 * time.Second, MaxRecords: 8, MaxBodyBytes: 8, MaxTotalBytes: 16})
	if err != nil {
		w.Fatal(err)
	}
	w.current[i] = &gateway{self: self, table: table, alive: true, states: map[uint64]State{}}
	w.gateways = append(w.gateways, w.current[i])
}

func pick[T any](w *simulation, what string, from []T) T {
	if len(from) == 0 {
		w.Skip("no " + what)
	}
	return rapid.SampledFrom(from).Draw(w.T, what)
}

// oneIn skips all but one in n draws, so that longer histories occur.
func (w *simulation) oneIn(n int) {
	if rapid.IntRange(1, n).Draw(w.T, "rare") > 1 {
		w.Skip("rare")
	}
}

func (w *simulation) running() *gateway {
	var up []*gateway
	for _, g := range w.current {
		if g.alive && !g.paused {
			up = append(up, g)
		}
	}
	return pick(w, "gateway", up)
}

func (w *simulation) send(to *gateway, run func()) {
	w.inTransit = append(w.inTransit, message{to, run})
}

// answerCaller gives a caller its result and records a "not run".
func (w *simulation) answerCaller(r *request, e *outcome.Error, body []byte) {
	if r.answered || !r.at.alive {
		return
	}
	r.answered = true
	switch {
	case e == nil && (w.calls[r.key] != r.call || !bytes.Equal(body, w.answers[r.key])):
		w.Fatalf("caller of %s got the response of another call", r.key)
	case e != nil && e.Kind == outcome.NotRun:
		w.toldNotRun[r.key] = true
	}
}

// sendAnswer sends a result to the caller's gateway, over the network if that is another process.
func (w *simulation) sendAnswer(r *request, from *gateway, e *outcome.Error, body []byte) {
	if from == r.at {
		w.answerCaller(r, e, body)
		return
	}
	w.send(r.at, func() { w.answerCaller(r, e, body) })
}

// begin passes a request to the table of its executor g.
func (w *simulation) begin(g *gateway, r *request) {
	d := g.table.Begin(w.now, r.text, r.call, r.deadline)
	r.seq = d.Sequence
	switch d.Action {
	case Run:
		g.dialing = append(g.dialing, r)
	case Wait:
		g.waiting = append(g.waiting, r)
	case Replay:
		w.sendAnswer(r, g, nil, d.Response.Body)
	case Refuse:
		w.sendAnswer(r, g, d.Err, nil)
	}
}

// route makes the routing decision of the caller's gateway, with an arbitrary view of membership.
func (w *simulation) route(r *request) {
	target, tk, err := Route(r.text, r.at.self, func(h ident.HostID) Executor {
		x := Executor{Member: rapid.IntRange(0, 4).Draw(w.T, "member") > 0, Reachable: rapid.IntRange(0, 4).Draw(w.T, "reachable") > 0}
		known := rapid.IntRange(0, len(w.gateways)).Draw(w.T, "known")
		if known < len(w.gateways) && w.gateways[known].self.Host == h {
			x.Incarnation = w.gateways[known].self.Incarnation
		}
		return x
	})
	switch target {
	case Reject:
		w.answerCaller(r, err, nil)
	case Local:
		w.begin(r.at, r)
	case Forward:
		for i := range w.current {
			if w.current[i].self.Host == tk.Host {
				w.send(w.current[i], func() { w.begin(w.current[i], r) })
			}
		}
	}
}

func remove(list *[]*request, r *request) {
	for i, x := range *list {
		if x == r {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
		}
	}
}

func (w *simulation) writeFirstByte() {
	g := w.running()
	r := pick(w, "dial", g.dialing)
	remove(&g.dialing, r)
	if err := g.table.FirstByte(w.now, r.seq); err != nil {
		w.sendAnswer(r, g, err, nil)
		return
	}
	if w.now >= r.deadline {
		w.Fatalf("first byte of %s was written after the deadline", r.key)
	}
	g.sent = append(g.sent, r)
	w.inFlight[r.key]++
	body := bytes.Repeat([]byte{byte('a' + len(w.answers)%26)}, rapid.IntRange(0, 12).Draw(w.T, "body"))
	w.send(nil, func() {
		w.inFlight[r.key]--
		w.executions[r.key]++
		w.answers[r.key], w.calls[r.key] = body, r.call
		w.send(g, func() {
			remove(&g.sent, r)
			if g.table.Finish(w.now, r.seq, Response{Status: 200, Body: body}) {
				w.sendAnswer(r, g, nil, body)
			}
		})
	})
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	cause := outcome.Refuse("admit", outcome.TeamLimit, "")
	return map[string]func(*rapid.T){
		"issue": func(*rapid.T) {
			if len(w.keys) > 0 {
				w.oneIn(4)
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
			w.requests = append(w.requests, r)
			w.route(r)
		},
		"refuse": func(*rapid.T) {
			r := &request{key: pick(w, "key", w.keys), at: w.running(), call: Call{Team: "t", Path: "p"}}
			if target, _, _ := Route(r.key, r.at.self, func(ident.HostID) Executor { return Executor{} }); target == Local {
				w.answerCaller(r, r.at.table.Refuse(w.now, r.key, r.call, cause), nil)
			} else {
				w.answerCaller(r, AsMayHaveRun(cause), nil)
			}
		},
		"deliver": func(*rapid.T) { w.deliver(true) },
		"arrive":  func(*rapid.T) { w.deliver(true) },
		"cut":     func(*rapid.T) { w.oneIn(3); w.deliver(false) },
		"connect": func(*rapid.T) { w.writeFirstByte() },
		"dial":    func(*rapid.T) { w.writeFirstByte() },
		"fail": func(*rapid.T) { // a failed dial, or a connection lost after the first byte
			g := w.running()
			r := pick(w, "call", append(append([]*request(nil), g.dialing...), g.sent...))
			remove(&g.dialing, r)
			remove(&g.sent, r)
			w.sendAnswer(r, g, g.table.Burn(w.now, r.seq, outcome.Refuse("dial", outcome.NoBackend, "")), nil)
		},
		"wake": func(*rapid.T) {
			g := w.running()
			r := pick(w, "waiter", g.waiting)
			remove(&g.waiting, r)
			w.begin(g, r)
		},
		"give up": func(*rapid.T) { // the caller's gateway stops waiting for the executor
			r := pick(w, "request", w.requests)
			if !r.at.paused {
				w.answerCaller(r, ForwardFailed(Ticket{}, nil), nil)
			}
		},
		"pause": func(*rapid.T) { w.oneIn(4); w.running().paused = true },
		"resume": func(*rapid.T) {
			for _, g := range w.current {
				g.paused = false
			}
		},
		"kill":    func(*rapid.T) { w.oneIn(4); w.running().alive = false },
		"restart": func(*rapid.T) { w.oneIn(2); w.start(rapid.IntRange(0, len(w.current)-1).Draw(w.T, "host")) },
		"time":    func(*rapid.T) { w.now += time.Duration(rapid.IntRange(1, 12).Draw(w.T, "s")) * time.Second },
		"":        func(*rapid.T) { w.check() },
	}
}

// deliver takes a message from inTransit and runs it, or drops it if run is false. Messages to a dead
// process are lost, messages to a paused one stay in transit.
func (w *simulation) deliver(run bool) {
	if len(w.inTransit) == 0 {
		w.Skip("no message")
	}
	i := rapid.IntRange(0, len(w.inTransit)-1).Draw(w.T, "message")
	m := w.inTransit[i]
	if m.to != nil && m.to.paused {
		w.Skip("paused")
	}
	w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
	if run && (m.to == nil || m.to.alive) {
		m.run()
	}
}

func (w *simulation) check() {
	for key, n := range w.executions {
		if n > 1 {
			w.Fatalf("%s ran %d times", key, n)
		}
	}
	for key := range w.toldNotRun {
		if w.executions[key] > 0 || w.inFlight[key] > 0 {
			w.Fatalf("a caller of %s was told not run, but it ran or may run", key)
		}
	}
	for _, g := range w.current {
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

// TestAtMostOnce guards against a call that runs twice, "not run" for a ticket whose call ran or may
// run, a response that reaches another call, and a first byte after the deadline. It runs random
// sequences of retries at several gateways, kills, restarts, pauses, and lost, late and reordered
// messages.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(w.actions())
	})
}
