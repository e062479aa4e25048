package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpend"
)

// A host that can't reach the servers of a service hands requests for it on to a peer, over a listener that only hosts use. The
// peer serves them like those of its own callers and never hands them on again.

const (
	// stepHandover is the step of a request that is handed on, and of a peer that declines one before it has looked at it.
	stepHandover = "handover"
	// headerHandover marks the requests and the answers between hosts. On the listener for callers it has no meaning.
	headerHandover = "Rosemaryhill-Handover"
	// maxHandoverPeers is the number of peers to which a request is sent at most.
	maxHandoverPeers = 3
	// maxUnreachedPeers is the number of peers that may have failed to reach a server for a request before it is given up: the
	// service is probably down.
	maxUnreachedPeers = 2
	// handoverShare is the share of the connections for callers that a host uses for requests of other hosts.
	handoverShare = 0.25
	// versionWait is how long a peer waits for a version of the configuration that another host has: hosts get it within some ms
	// of each other. versionPoll is the interval at which it looks.
	versionWait = 300 * time.Millisecond
	versionPoll = 5 * time.Millisecond
	// relayBuffer is the size of the reads of an answer that is passed on while it arrives. Events are smaller.
	relayBuffer = 16 << 10
)

// handover is what a host says of a request that it hands on.
type handover struct {
	from        member.Addr       // the host, by its gossip address
	incarnation ident.Incarnation // of its process, which only hosts know
	config      ident.Version     // by which it has admitted the request
	elapsed     time.Duration     // since the request arrived there
	attempts    int               // servers that the request was sent to
	resume      int64             // last event of a stream that the caller has of this request, -1 for none
}

func (x handover) String() string {
	return fmt.Sprintf("%s %d %d %d %d %d", x.from, uint64(x.incarnation), uint64(x.config), x.elapsed.Milliseconds(), x.attempts, x.resume)
}

func parseHandover(value string) (x handover, err error) {
	var ms int64
	_, err = fmt.Sscan(value, (*string)(&x.from), (*uint64)(&x.incarnation), (*uint64)(&x.config), &ms, &x.attempts, &x.resume)
	x.elapsed = time.Duration(ms) * time.Millisecond
	return x, err
}

// mayHandOn reports whether a request may be handed on now. last is its failure on this host, nil if it was not sent to a server.
func (h *Host) mayHandOn(ctx context.Context, q *request, last *outcome.Error) bool {
	switch {
	case q.handover != nil || ctx.Err() != nil || q.caller.gone.Load():
		return false
	case last == nil:
		return true
	case last.Step != stepDial && !(h.isUnreachable(q.service) && (last.Step == stepReserve || last.Step == stepPlace || last.Step == stepSend)):
		return false
	case q.mayHaveRun && !q.route.Repeatable():
		return false
	}
	return q.attempts == 0 || h.mayRepeat(q)
}

// mayRepeat reports whether a request that a server may have begun to process may be sent once more, and takes that from the
// retry budget.
func (h *Host) mayRepeat(q *request) bool {
	if !q.route.Repeatable() || q.attempts >= max(1, q.route.MaxAttempts) {
		return false
	}
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.allowRetry(h.now(), q.service)
}

// handOn hands a request on and relays the answer. resume is the last event that the caller has of a stream whose header has been
// written, -1 for none. With an error nothing more has been written. done is false if no peer has taken the request, so that this host may still try its servers.
func (h *Host) handOn(ctx context.Context, w http.ResponseWriter, q *request, resume int64) (e *outcome.Error, done bool) {
	var tried []member.Addr
	for unreached := 0; len(tried) < maxHandoverPeers && unreached < maxUnreachedPeers && ctx.Err() == nil; {
		peer, ok := h.beginHandover(q, tried)
		if !ok {
			return e, false
		}
		tried = append(tried, peer)
		e, done = h.handTo(ctx, w, q, peer, resume)
		switch {
		case done:
			return e, true
		case e.Kind != outcome.NotRun && !h.mayRepeat(q):
			return h.finalError(ctx, q, e), true
		case e.Reason == outcome.NoBackend && e.Step == stepHandover:
			unreached++
		}
	}
	return e, false
}

// beginHandover chooses a peer for a request: one that has the version of the request if there is one, in the own availability zone
// if possible, and among these one with the fewest requests of this host.
func (h *Host) beginHandover(q *request, tried []member.Addr) (peer member.Addr, ok bool) {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *peers.Peer
	for _, p := range s.peers.Reaching(h.now(), serviceHash(q.service), q.config) {
		switch {
		case slices.Contains(tried, p.Addr):
		case best == nil, s.peers.SameRank(p, best, q.config) && s.handovers[p.Addr] < s.handovers[best.Addr]:
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	s.handovers[best.Addr]++
	return best.Addr, true
}

func (h *Host) endHandover(peer member.Addr) {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	if h.state.handovers[peer]--; h.state.handovers[peer] == 0 {
		delete(h.state.handovers, peer)
	}
}

// handTo sends a request to a peer and relays the answer. done is false if another peer may get the request; e is then why this
// one has not answered.
func (h *Host) handTo(ctx context.Context, w http.ResponseWriter, q *request, peer member.Addr, resume int64) (e *outcome.Error, done bool) {
	defer h.endHandover(peer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, span := h.startStepSpan(ctx, stepHandover, ident.BackendID(peer))
	defer func() { endSpan(span, e) }()
	result := handoverLost
	defer func() {
		h.metrics.handovers.Add(1, result)
		f := fields{"request": q.call.ID, "service": q.service, "peer": peer, "result": result, "config": uint64(q.config)}
		if e != nil {
			f["error"] = e.Error()
		}
		h.decisions.write(f, "request handed on")
	}()
	sentAt := h.now()
	stop := h.watchPeer(ctx, q, peer, cancel)
	resp, sent, err := h.sendToPeer(ctx, q, peer, resume)
	stop()
	if err != nil {
		if !sent {
			result = handoverUnsent
			return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.NoBackend, Step: stepDial, Peer: string(peer), RetryAfter: noBackendRetry, Err: err}, false
		}
		q.mayHaveRun = true
		q.attempts++
		return outcome.Fail(stepHandover, string(peer), outcome.BackendLost, err), false
	}
	defer resp.Body.Close()
	said, ok := parsePeerEnd(resp.Header.Get(headerHandover))
	if !ok {
		q.mayHaveRun = true
		q.attempts++
		return outcome.Fail(stepHandover, string(peer), outcome.BackendLost, Error.New("status %d without the header of a peer", resp.StatusCode)), false
	}
	if said.declined() {
		result = handoverDeclined
		return &outcome.Error{
			Kind: outcome.NotRun, Reason: said.reason, Step: stepHandover, Peer: string(peer), RetryAfter: noBackendRetry,
			Detail: "the peer has not taken the request: " + said.step,
		}, false
	}
	q.handedTo = string(peer)
	q.mayHaveRun = q.mayHaveRun || said.kind != outcome.NotRun
	result = handoverRelayed
	if said.kind != outcome.Answered && resume < 0 {
		return &outcome.Error{
			Kind: said.kind, Reason: said.reason, Step: said.step, Peer: string(peer), RetryAfter: retry.ParseDelay(resp.Header.Get("Retry-After")),
			Detail: "said by the peer to which the request was handed on",
		}, true
	}
	if said.server != "" {
		// This host passes the notice on, so it must keep to it once it reaches the server itself. The others are the peer's.
		h.recordNotice(said.server, said.started, sentAt, Notice{Leaving: h.cfg.Dialect.Reply(resp).Notice.Leaving})
	}
	return h.relayAnswer(ctx, w, q, peer, resp, resume >= 0), true
}

// watchPeer cancels the wait for the answer to a request that may be repeated when the peer no longer reports. The returned
// function ends the watch.
func (h *Host) watchPeer(ctx context.Context, q *request, peer member.Addr, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	if !q.route.Repeatable() {
		return func() {}
	}
	go func() {
		tick := time.NewTicker(peers.ReportInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-tick.C:
				if !h.isAlive(peer) {
					cancel()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

func (h *Host) isAlive(peer member.Addr) bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.peers.IsAlive(h.now(), peer)
}

// sendToPeer sends a request on a connection of its own. sent is false if nothing has reached the peer.
func (h *Host) sendToPeer(ctx context.Context, q *request, peer member.Addr, resume int64) (resp *http.Response, sent bool, err error) {
	req, err := newForwardRequest(ctx, q, string(peer))
	if err != nil {
		return nil, false, err
	}
	mark := handover{
		from: h.gossip.Addr(), incarnation: h.incarnation, config: q.config, elapsed: h.now() - q.arrived, attempts: q.attempts, resume: resume,
	}
	req.Header.Set(headerHandover, mark.String())
	resp, err = h.peerHTTP.Do(req)
	var op *net.OpError
	return resp, !(errors.As(err, &op) && op.Op == "dial"), err
}

// newForwardRequest returns a request with the target, the header and the body of a caller's, without the hop-by-hop headers.
func newForwardRequest(ctx context.Context, q *request, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.http.Method, "http://"+address, nil)
	if err != nil {
		return nil, err
	}
	setTarget(req.URL, q.http.URL)
	req.Host = q.http.Host
	req.Header = q.http.Header.Clone()
	removeHopHeaders(req.Header)
	if _, named := req.Header["User-Agent"]; !named {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if len(q.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.body))
		req.ContentLength = int64(len(q.body))
	}
	return req, nil
}

// relayAnswer passes the answer of a peer on to the caller. If a header has been written, only events that follow it are.
func (h *Host) relayAnswer(ctx context.Context, w http.ResponseWriter, q *request, peer member.Addr, resp *http.Response, headerWritten bool) *outcome.Error {
	resp.Header.Del(headerHandover)
	flush := http.NewResponseController(w)
	if q.route.Kind != catalog.Streaming {
		body, err := readResponse(&q.memory, resp)
		if err != nil {
			return h.finalError(ctx, q, outcome.Fail(stepHandover, string(peer), outcome.BackendLost, err))
		}
		h.writeResponse(w, &response{status: resp.StatusCode, header: resp.Header, body: body})
		return nil
	}
	if !headerWritten {
		h.closeWhenStopping(w)
		copyHeader(w.Header(), resp.Header)
		w.WriteHeader(resp.StatusCode)
	}
	e := outcome.Fail(stepHandover, string(peer), outcome.BackendLost, errNoContinuation)
	if !headerWritten || (resp.StatusCode == http.StatusOK && mayBeStream(resp.Header)) {
		e = h.relayBody(w, flush, q, peer, resp)
	}
	if e == nil {
		return nil
	}
	e = h.finalError(ctx, q, e)
	h.recordEnd(q, e.Kind.String(), string(e.Reason), e)
	abort(flush, q.http)
	return e
}

// relayBody passes a body on while it arrives.
func (h *Host) relayBody(w http.ResponseWriter, flush *http.ResponseController, q *request, peer member.Addr, resp *http.Response) *outcome.Error {
	buf := make([]byte, relayBuffer)
	for events := false; ; events = true {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			_, writeErr := w.Write(buf[:n])
			if writeErr == nil {
				writeErr = flush.Flush()
			}
			if writeErr != nil {
				return outcome.Fail(stepAnswer, "", outcome.Cancelled, writeErr)
			}
			q.caller.wrote(h.now())
		}
		if errors.Is(err, io.EOF) {
			err = httpcall.CheckStreamEnd(resp, events || n > 0)
			if err == nil {
				return nil
			}
		}
		if err != nil {
			return outcome.Fail(stepHandover, string(peer), outcome.BackendLost, err)
		}
	}
}

// Results of requests that are handed on, as named in logs and metrics.
const (
	handoverRelayed  = "relayed"
	handoverDeclined = "declined" // the peer has not taken the request
	handoverUnsent   = "unsent"   // no connection to the peer
	handoverLost     = "lost"     // no answer from the peer
)

// peerEnd says how a request has ended at a peer.
type peerEnd struct {
	kind    outcome.Kind
	reason  outcome.Reason // with step, of a request that no server has answered
	step    string
	server  ident.BackendID // that has answered, in the lifetime that began at started
	started int64
}

func (x peerEnd) String() string {
	if x.kind == outcome.Answered {
		return fmt.Sprintf("%s %s %d", x.kind, x.server, x.started)
	}
	return fmt.Sprintf("%s %s %s", x.kind, x.reason, x.step)
}

// parsePeerEnd parses what a peer says of the end of a request. ok is false if it says nothing.
func parsePeerEnd(value string) (x peerEnd, ok bool) {
	words := append(strings.Fields(value), "", "", "")
	x.kind = outcome.ParseKind(words[0])
	if x.kind != outcome.Answered {
		x.reason, x.step = outcome.Reason(words[1]), words[2]
		return x, words[0] != ""
	}
	x.server = ident.BackendID(words[1])
	x.started, _ = strconv.ParseInt(words[2], 10, 64) // a start that can't be read is that of no lifetime
	return x, true
}

// nameServer tells the host that has handed a request on which server has answered it.
func nameServer(w http.ResponseWriter, srv catalog.Server) {
	if x, ok := w.(*handoverWriter); ok {
		x.end = peerEnd{kind: outcome.Answered, server: srv.ID, started: srv.Started}
	}
}

// declined reports whether another peer may serve a request that this one has not.
func (x peerEnd) declined() bool {
	return x.kind == outcome.NotRun && (x.step == stepHandover || x.reason == outcome.NoBackend || x.reason == outcome.Draining || x.reason == outcome.NotReady)
}

// startHandover serves the requests that other hosts hand on. They come on the TCP port with the number of the gossip port. If it is
// taken, the host runs without it: other hosts choose another peer.
func (h *Host) startHandover() {
	server := h.newServer(http.HandlerFunc(h.serveHandover))
	server.ConnState = h.connections.Observe
	address := string(h.gossip.Addr())
	if _, err := h.serve(server, portHandover, address); err != nil {
		h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("requests of other hosts not served")
	}
}

// serveHandover serves a request that another host has handed on.
func (h *Host) serveHandover(w http.ResponseWriter, r *http.Request) {
	mark, err := parseHandover(r.Header.Get(headerHandover))
	r.Header.Del(headerHandover)
	answer := &handoverWriter{ResponseWriter: w, end: peerEnd{kind: outcome.Answered}}
	if err != nil || !h.isPeer(mark) {
		h.log.WithField("peer", r.RemoteAddr).Warn("handed-on request refused: not from a known host")
		answer.end = peerEnd{kind: outcome.NotRun, reason: outcome.NotReady, step: stepHandover}
		httpend.WriteError(answer, refuseHandover(outcome.NotReady, "not from a known host"), fractionalSeconds)
		return
	}
	h.awaitVersion(r.Context(), mark.config)
	h.serveRequest(answer, r, &mark)
}

// awaitVersion waits until a version of the configuration or a newer one is in force, or versionWait has passed.
func (h *Host) awaitVersion(ctx context.Context, config ident.Version) {
	for end := h.now() + versionWait; h.configVersion() < config && h.now() < end && ctx.Err() == nil; {
		ctxtime.Sleep(ctx, versionPoll)
	}
}

func (h *Host) configVersion() ident.Version {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.stateHeld().Config
}

// isPeer reports whether a request comes from a live process of a host that reports. Callers do not know its incarnation.
func (h *Host) isPeer(mark handover) bool {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return slices.ContainsFunc(h.state.peers.Live(h.now()), func(p *peers.Peer) bool {
		return p.Addr == mark.from && p.Incarnation == mark.incarnation
	})
}

// handoverWriter writes an answer to another host and says how the request has ended.
type handoverWriter struct {
	http.ResponseWriter
	end     peerEnd
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *handoverWriter) WriteHeader(status int) {
	if !w.written {
		w.written = true
		w.Header().Set(headerHandover, w.end.String())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *handoverWriter) Write(b []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap supports http.ResponseController.
func (w *handoverWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// admitHandover refuses a request of another host that has a newer configuration, or beyond those that this host takes. The state
// must be locked.
func (h *Host) admitHandover(q *request, config ident.Version) *outcome.Error {
	switch {
	case q.handover == nil:
		return nil
	case config < q.handover.config:
		return refuseHandover(outcome.NotReady, fmt.Sprintf("configuration %d is not in force here yet", q.handover.config))
	case h.handoversTaken.Load() > int64(handoverShare*float64(h.guard.MaxConnections())):
		return refuseHandover(outcome.Overload, "this host serves as many requests of others as it can")
	}
	return nil
}

func refuseHandover(r outcome.Reason, detail string) *outcome.Error {
	e := outcome.Refuse(stepHandover, r, detail)
	e.RetryAfter = noBackendRetry
	return e
}

// logHandover adds to the log fields of a request between which hosts it was handed on.
func (q *request) logHandover(f fields) {
	if q.handedTo != "" {
		f["handed_to"] = q.handedTo
	}
	if q.handover != nil {
		f["handed_by"] = q.handover.from
	}
}
