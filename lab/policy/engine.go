package policy

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
)

// cachedPrefixTokens is the number of prefill tokens that a prefix cache hit saves.
const cachedPrefixTokens = sched.PrefixBytes / ident.BytesPerToken

// progressInterval is the time between two progress events of a session.
const progressInterval = 500 * time.Millisecond

// engine simulates an engine with continuous batching. Each step prefills up to one chunk, the most urgent session
// first, and decodes one token for every running sequence.
type engine struct {
	w                *world
	id               ident.BackendID
	usedTokens       int
	sessions         map[sched.SessionID]*session
	arrivalOrder     []*session // all sessions
	prefillQueue     []*session // by priority, then by arrival
	decoding         []*session
	kvTokens         map[string]int
	prefixes         []string // least recently used first
	busy             bool
	reportNumber     uint64
	cacheEventNumber uint64
}

type session struct {
	send           sched.Send
	reservedTokens int
	prefillLeft    int // prompt tokens still to prefill
	tokenCount     int
	outputTokens   int // tokenCount at which the answer ends
	removed        bool
	lastProgress   time.Duration // time of the last progress event
}

func newEngine(w *world, i int) *engine {
	return &engine{
		w: w, id: ident.BackendID(fmt.Sprintf("engine%02d", i)),
		sessions: map[sched.SessionID]*session{}, kvTokens: map[string]int{},
	}
}

// start handles POST /v1/sessions.
func (e *engine) start(send sched.Send) {
	x := &session{send: send, prefillLeft: send.PromptTo - send.PromptFrom, tokenCount: send.ResumeFrom, lastProgress: e.w.Now()}
	x.reservedTokens = x.prefillLeft + send.MaxOutputTokens
	x.outputTokens = e.w.outputOf(send.Attempt)
	if e.usedTokens+x.reservedTokens > e.w.profile.MemoryTokens {
		e.w.deliverEngineEvent(sched.EngineFailed{Session: send.Session, Kind: sched.Refused, RetryAfter: time.Second})
		return
	}
	e.usedTokens += x.reservedTokens
	e.sessions[send.Session] = x
	e.arrivalOrder = append(e.arrivalOrder, x)
	e.w.deliverEngineEvent(sched.EngineAccepted{Session: send.Session})
	if len(send.Import) == 0 && e.touchPrefix(send.Prefix) {
		x.prefillLeft = max(1, x.prefillLeft-cachedPrefixTokens)
	}
	importTime := time.Duration(float64(send.PromptFrom) / e.w.profile.KVImportTokensPerS * float64(time.Second))
	e.w.After(importTime, func() { e.enqueue(x) })
}

func (e *engine) enqueue(x *session) {
	if x.removed {
		return
	}
	i, _ := slices.BinarySearchFunc(e.prefillQueue, x.send.Priority, func(o *session, p int) int {
		if o.send.Priority <= p {
			return -1
		}
		return 1
	})
	e.prefillQueue = slices.Insert(e.prefillQueue, i, x)
	e.stepIfIdle()
}

func (e *engine) stepIfIdle() {
	if !e.busy && len(e.prefillQueue)+len(e.decoding) > 0 {
		e.step()
	}
}

type prefillChunk struct {
	x      *session
	tokens int
}

func (e *engine) step() {
	e.busy = true
	budget := e.w.profile.ChunkTokens
	var work []prefillChunk
	for _, x := range e.prefillQueue {
		if budget == 0 {
			break
		}
		n := min(budget, x.prefillLeft)
		work = append(work, prefillChunk{x, n})
		budget -= n
	}
	batch := slices.Clone(e.decoding)
	e.w.After(e.w.profile.stepTime(e.w.profile.ChunkTokens-budget, len(batch)), func() { e.finishStep(work, batch) })
}

func (e *engine) finishStep(work []prefillChunk, batch []*session) {
	e.busy = false
	for _, x := range batch {
		if !x.removed {
			x.tokenCount++
			e.emitToken(x)
		}
	}
	for _, s := range work {
		if s.x.removed {
			continue
		}
		if s.x.prefillLeft -= s.tokens; s.x.prefillLeft == 0 {
			e.finishPrefill(s.x)
		}
	}
	e.stepIfIdle()
}

func (e *engine) finishPrefill(x *session) {
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, func(o *session) bool { return o == x })
	e.storePrefix(x.send.Prefix)
	if x.send.Export {
		handle := string(x.send.Session) + "/kv"
		e.remove(x)
		e.usedTokens += x.reservedTokens
		e.kvTokens[handle] = x.reservedTokens
		e.w.deliverEngineEvent(sched.EngineEnded{Session: x.send.Session, KV: handle})
		return
	}
	x.tokenCount++
	e.w.firstToken(x.send.Attempt)
	e.w.deliverEngineEvent(sched.FirstToken{Session: x.send.Session, Count: x.tokenCount})
	if x.tokenCount >= x.outputTokens {
		e.end(x)
		return
	}
	e.decoding = append(e.decoding, x)
}

func (e *engine) emitToken(x *session) {
	if x.tokenCount >= x.outputTokens {
		e.end(x)
		return
	}
	if e.w.Now()-x.lastProgress >= progressInterval {
		x.lastProgress = e.w.Now()
		e.w.deliverEngineEvent(sched.TokenProgress{Session: x.send.Session, Count: x.tokenCount})
	}
}

func (e *engine) end(x *session) {
	e.remove(x)
	e.w.deliverEngineEvent(sched.EngineEnded{Session: x.send.Session, Count: x.tokenCount})
}

func (e *engine) remove(x *session) {
	x.removed = true
	e.usedTokens -= x.reservedTokens
	delete(e.sessions, x.send.Session)
	same := func(o *session) bool { return o == x }
	e.arrivalOrder = slices.DeleteFunc(e.arrivalOrder, same)
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, same)
	e.decoding = slices.DeleteFunc(e.decoding, same)
}

// cancel handles DELETE /v1/sessions/{id}.
func (e *engine) cancel(id sched.SessionID) {
	if x, ok := e.sessions[id]; ok {
		e.remove(x)
	}
	e.w.deliverEngineEvent(sched.CancelAcked{Session: id})
}

// releaseKV handles DELETE /v1/kv/{handle}.
func (e *engine) releaseKV(handle string) {
	e.usedTokens -= e.kvTokens[handle]
	delete(e.kvTokens, handle)
	e.w.deliverEngineEvent(sched.KVReleased{Engine: e.id, Handle: handle})
}

// report handles GET /v1/report.
func (e *engine) report() backendapi.Report {
	e.reportNumber++
	r := backendapi.Report{
		Report: e.reportNumber, MemoryTokens: e.w.profile.MemoryTokens, UsedTokens: e.usedTokens,
		PrefillTokensPerS: e.w.profile.PrefillTokensPerS, State: "live", AgeMS: int64(e.w.profile.ReportLagMS),
	}
	for _, x := range e.prefillQueue {
		r.QueuedPrefillTokens += x.prefillLeft
	}
	for _, x := range e.arrivalOrder {
		issuer, inc, _, _ := x.send.Session.Parse()
		r.Sessions = append(r.Sessions, backendapi.Session{
			Session: string(x.send.Session), Issuer: string(issuer), Incarnation: inc.String(),
			ReservedTokens: x.reservedTokens, RemainingMS: (x.send.Deadline - e.w.Now()).Milliseconds(),
		})
	}
	for h := range e.kvTokens {
		r.KVHandles = append(r.KVHandles, h)
	}
	slices.Sort(r.KVHandles)
	return r
}

// touchPrefix reports whether a prefix is cached and marks it as the most recently used one.
func (e *engine) touchPrefix(key string) bool {
	i := slices.Index(e.prefixes, key)
	if key == "" || i < 0 {
		return false
	}
	e.prefixes = append(slices.Delete(e.prefixes, i, i+1), key)
	return true
}

func (e *engine) storePrefix(key string) {
	if key == "" || e.touchPrefix(key) || e.w.profile.PrefixEntries == 0 {
		return
	}
	if len(e.prefixes) >= e.w.profile.PrefixEntries {
		e.cacheEvent("evicted", e.prefixes[0])
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, key)
	e.cacheEvent("stored", key)
}

func (e *engine) cacheEvent(kind, key string) {
	e.cacheEventNumber++
	e.w.cacheEvent(e, backendapi.CacheEvent{Number: e.cacheEventNumber, Kind: kind, Prefix: key})
}
