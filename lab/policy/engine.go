package policy

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
)

// cachedPrefixTokens is what a prefix hit saves.
const cachedPrefixTokens = sched.PrefixBytes / ident.BytesPerToken

// progressEvery is the time between two progress events of a session.
const progressEvery = 500 * time.Millisecond

// engine is a fake engine: continuous batching in steps. Each step prefills up to a chunk, the
// most urgent session first, and decodes one token for every running sequence.
type engine struct {
	w        *world
	id       ident.BackendID
	used     int
	sessions map[sched.SessionID]*session
	order    []*session // all sessions, by arrival
	prefill  []*session // by priority, then arrival
	decode   []*session
	kv       map[string]int
	prefixes []string // least recently used first
	busy     bool
	reports  uint64
	events   uint64
}

type session struct {
	send     sched.Send
	tokens   int
	left     int // prefill tokens
	count    int
	output   int // tokens until the end
	gone     bool
	progress time.Duration // time of the last progress event
}

func newEngine(w *world, i int) *engine {
	return &engine{
		w: w, id: ident.BackendID(fmt.Sprintf("engine%02d", i)),
		sessions: map[sched.SessionID]*session{}, kv: map[string]int{},
	}
}

// start handles POST /v1/sessions.
func (e *engine) start(send sched.Send) {
	x := &session{send: send, left: send.PromptTo - send.PromptFrom, count: send.ResumeFrom, progress: e.w.Now()}
	x.tokens = x.left + send.MaxOutputTokens
	x.output = e.w.outputOf(send.Attempt)
	if e.used+x.tokens > e.w.p.MemoryTokens {
		e.w.fromEngine(sched.EngineFailed{Session: send.Session, Kind: sched.Refused, RetryAfter: time.Second})
		return
	}
	e.used += x.tokens
	e.sessions[send.Session] = x
	e.order = append(e.order, x)
	e.w.fromEngine(sched.EngineAccepted{Session: send.Session})
	if len(send.Import) == 0 && e.touchPrefix(send.Prefix) {
		x.left = max(1, x.left-cachedPrefixTokens)
	}
	imported := time.Duration(float64(send.PromptFrom) / e.w.p.KVImportTokensPerS * float64(time.Second))
	e.w.After(imported, func() { e.enqueue(x) })
}

func (e *engine) enqueue(x *session) {
	if x.gone {
		return
	}
	i, _ := slices.BinarySearchFunc(e.prefill, x.send.Priority, func(o *session, p int) int {
		if o.send.Priority <= p {
			return -1
		}
		return 1
	})
	e.prefill = slices.Insert(e.prefill, i, x)
	e.kick()
}

func (e *engine) kick() {
	if !e.busy && len(e.prefill)+len(e.decode) > 0 {
		e.step()
	}
}

type slice struct {
	x      *session
	tokens int
}

func (e *engine) step() {
	e.busy = true
	budget := e.w.p.ChunkTokens
	var work []slice
	for _, x := range e.prefill {
		if budget == 0 {
			break
		}
		n := min(budget, x.left)
		work = append(work, slice{x, n})
		budget -= n
	}
	batch := slices.Clone(e.decode)
	e.w.After(e.w.p.stepTime(e.w.p.ChunkTokens-budget, len(batch)), func() { e.stepDone(work, batch) })
}

func (e *engine) stepDone(work []slice, batch []*session) {
	e.busy = false
	for _, x := range batch {
		if !x.gone {
			x.count++
			e.token(x)
		}
	}
	for _, s := range work {
		if s.x.gone {
			continue
		}
		if s.x.left -= s.tokens; s.x.left == 0 {
			e.prefilled(s.x)
		}
	}
	e.kick()
}

func (e *engine) prefilled(x *session) {
	e.prefill = slices.DeleteFunc(e.prefill, func(o *session) bool { return o == x })
	e.storePrefix(x.send.Prefix)
	if x.send.Export {
		handle := string(x.send.Session) + "/kv"
		e.remove(x)
		e.used += x.tokens
		e.kv[handle] = x.tokens
		e.w.fromEngine(sched.EngineEnded{Session: x.send.Session, KV: handle})
		return
	}
	x.count++
	e.w.firstToken(x.send.Attempt)
	e.w.fromEngine(sched.FirstToken{Session: x.send.Session, Count: x.count})
	if x.count >= x.output {
		e.end(x)
		return
	}
	e.decode = append(e.decode, x)
}

func (e *engine) token(x *session) {
	if x.count >= x.output {
		e.end(x)
		return
	}
	if e.w.Now()-x.progress >= progressEvery {
		x.progress = e.w.Now()
		e.w.fromEngine(sched.TokenProgress{Session: x.send.Session, Count: x.count})
	}
}

func (e *engine) end(x *session) {
	e.remove(x)
	e.w.fromEngine(sched.EngineEnded{Session: x.send.Session, Count: x.count})
}

func (e *engine) remove(x *session) {
	x.gone = true
	e.used -= x.tokens
	delete(e.sessions, x.send.Session)
	same := func(o *session) bool { return o == x }
	e.order = slices.DeleteFunc(e.order, same)
	e.prefill = slices.DeleteFunc(e.prefill, same)
	e.decode = slices.DeleteFunc(e.decode, same)
}

// cancel handles DELETE /v1/sessions/{id}.
func (e *engine) cancel(id sched.SessionID) {
	if x, ok := e.sessions[id]; ok {
		e.remove(x)
	}
	e.w.fromEngine(sched.CancelAcked{Session: id})
}

// releaseKV handles DELETE /v1/kv/{handle}.
func (e *engine) releaseKV(handle string) {
	e.used -= e.kv[handle]
	delete(e.kv, handle)
	e.w.fromEngine(sched.KVReleased{Engine: e.id, Handle: handle})
}

// report handles GET /v1/report.
func (e *engine) report() backendapi.Report {
	e.reports++
	r := backendapi.Report{
		Report: e.reports, MemoryTokens: e.w.p.MemoryTokens, UsedTokens: e.used,
		PrefillTokensPerS: e.w.p.PrefillTokensPerS, State: "live", AgeMS: int64(e.w.p.ReportLagMS),
	}
	for _, x := range e.prefill {
		r.QueuedPrefillTokens += x.left
	}
	for _, x := range e.order {
		issuer, inc, _, _ := x.send.Session.Parse()
		r.Sessions = append(r.Sessions, backendapi.Session{
			Session: string(x.send.Session), Issuer: string(issuer), Incarnation: inc.String(),
			ReservedTokens: x.tokens, RemainingMS: (x.send.Deadline - e.w.Now()).Milliseconds(),
		})
	}
	for h := range e.kv {
		r.KVHandles = append(r.KVHandles, h)
	}
	slices.Sort(r.KVHandles)
	return r
}

// touchPrefix reports a prefix hit and makes it the most recently used one.
func (e *engine) touchPrefix(key string) bool {
	i := slices.Index(e.prefixes, key)
	if key == "" || i < 0 {
		return false
	}
	e.prefixes = append(slices.Delete(e.prefixes, i, i+1), key)
	return true
}

func (e *engine) storePrefix(key string) {
	if key == "" || e.touchPrefix(key) || e.w.p.PrefixEntries == 0 {
		return
	}
	if len(e.prefixes) >= e.w.p.PrefixEntries {
		e.cacheEvent("evicted", e.prefixes[0])
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, key)
	e.cacheEvent("stored", key)
}

func (e *engine) cacheEvent(kind, key string) {
	e.events++
	e.w.cacheEvent(e, backendapi.CacheEvent{Number: e.events, Kind: kind, Prefix: key})
}
