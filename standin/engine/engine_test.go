package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
)

type fixture struct {
	*qt.C
	e   *Engine
	url string
}

func start(t *testing.T, cfg Config) fixture {
	c := qt.New(t)
	cfg.ID = "e1"
	e := New(cfg)
	srv := httptest.NewServer(e)
	c.Cleanup(func() { e.Close(); srv.Close() })
	return fixture{c, e, srv.URL}
}

func (f fixture) call(ctx context.Context, method, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	f.Assert(err, qt.IsNil)
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, bytes.NewReader(body))
	f.Assert(err, qt.IsNil)
	return http.DefaultClient.Do(req)
}

// run returns the text and the end line of a session.
func (f fixture) run(ctx context.Context, req backendapi.SessionRequest) (string, backendapi.StreamLine, error) {
	resp, err := f.call(ctx, http.MethodPost, "/v1/sessions", req)
	if err != nil {
		return "", backendapi.StreamLine{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", backendapi.StreamLine{}, errors.New(resp.Status + " " + resp.Header.Get("Retry-After"))
	}
	text, dec := "", json.NewDecoder(resp.Body)
	for {
		var line backendapi.StreamLine
		if err := dec.Decode(&line); err != nil || line.End {
			return text, line, err
		}
		text += line.Text
	}
}

func (f fixture) get(path string, v any) {
	resp, err := f.call(context.Background(), http.MethodGet, path, nil)
	f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	f.Assert(json.NewDecoder(resp.Body).Decode(v), qt.IsNil)
}

func (f fixture) report() (r backendapi.Report) { f.get("/v1/report", &r); return r }

func request(session, prompt string) backendapi.SessionRequest {
	return backendapi.SessionRequest{Session: session, Prompt: prompt, MaxOutputTokens: 8, RemainingMS: 1000}
}

func wantText(prompt string, from, to int) (text string) {
	for n := from; n <= to; n++ {
		text += AnswerTo(prompt).Token(n)
	}
	return text
}

var fast = Config{DecodeTokensPerS: 2000}

// Guards against a resumed stream or a gang whose text differs from that of a single session, and against
// memory that stays reserved after a complete answer.
func TestResumedAndSegmentedTextIsTheSame(t *testing.T) {
	f, ctx := start(t, fast), context.Background()
	prompt := strings.Repeat("lot 7 kernels ", 100)
	text, end, err := f.run(ctx, request("a", prompt))
	f.Assert(err, qt.IsNil)
	f.Assert(end.Count, qt.Equals, 8)
	f.Assert(text, qt.Equals, wantText(prompt, 1, 8))

	resumed := request("b", prompt)
	resumed.ResumeFrom = 5
	text, _, err = f.run(ctx, resumed)
	f.Assert(err, qt.IsNil)
	f.Assert(text, qt.Equals, wantText(prompt, 6, 8))

	var handles []string
	for i, segment := range []string{prompt[:501], prompt[501:900]} {
		req := request("seg"+string(rune('0'+i)), segment)
		req.Export, req.Import = true, handles
		_, end, err := f.run(ctx, req)
		f.Assert(err, qt.IsNil)
		handles = append(handles, end.KV)
	}
	f.Assert(f.report().UsedTokens, qt.Equals, 126+100)
	last := request("last", prompt[900:])
	last.Import = handles
	text, _, err = f.run(ctx, last)
	f.Assert(err, qt.IsNil)
	f.Assert(text, qt.Equals, wantText(prompt, 1, 8))
	for _, h := range handles {
		resp, err := f.call(ctx, http.MethodDelete, "/v1/kv/"+h, nil)
		f.Assert(err, qt.IsNil)
		resp.Body.Close()
	}
	f.Assert(f.report().UsedTokens, qt.Equals, 0)
	_, _, err = f.run(ctx, last)
	f.Assert(err, qt.ErrorMatches, "404.*")
}

// Guards against a report that still counts the memory of a session whose client has read the end of the stream.
func TestMemoryIsFreeWhenTheEndIsRead(t *testing.T) {
	f := start(t, fast)
	e := f.e
	s, err := newSession(backendapi.SessionRequest{Session: "a", Prompt: "lot 7", MaxOutputTokens: 1})
	f.Assert(err, qt.IsNil)
	f.Assert(e.admit(s), qt.IsNil)
	usedAtEnd := -1
	w := &recordingWriter{ResponseRecorder: httptest.NewRecorder(), onEnd: func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		usedAtEnd = e.usedTokens
	}}
	e.stream(w, httptest.NewRequest(http.MethodPost, "/", nil), s)
	f.Assert(usedAtEnd, qt.Equals, 0)
}

// recordingWriter calls onEnd when the line that ends a stream is written.
type recordingWriter struct {
	*httptest.ResponseRecorder
	onEnd func()
}

func (w *recordingWriter) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(`"end":true`)) {
		w.onEnd()
	}
	return w.ResponseRecorder.Write(b)
}

// Guards against a stand-in that hides leaks: a session must keep its memory after its client has
// disconnected, until a cancel request gets through.
func TestSessionOutlivesItsClient(t *testing.T) {
	f := start(t, Config{MemoryTokens: 100, DecodeTokensPerS: 2000})
	f.e.Faults.Set(Faults{HangAfter: 3, LoseCancels: true})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	text, _, err := f.run(ctx, request("a", "lot"))
	f.Assert(err, qt.IsNotNil)
	f.Assert(text, qt.Equals, wantText("lot", 1, 3))
	f.Assert(f.report().UsedTokens, qt.Equals, 9)
	_, _, err = f.run(context.Background(), request("b", strings.Repeat("x", 400)))
	f.Assert(err, qt.ErrorMatches, "503.* 1")
	_, _, err = f.run(context.Background(), request("a", "lot"))
	f.Assert(err, qt.ErrorMatches, "409.*")

	_, err = f.call(context.Background(), http.MethodDelete, "/v1/sessions/a", nil)
	f.Assert(err, qt.IsNotNil)
	f.Assert(f.report().Sessions, qt.HasLen, 1)
	f.e.Faults.Set(Faults{})
	resp, err := f.call(context.Background(), http.MethodDelete, "/v1/sessions/a", nil)
	f.Assert(err, qt.IsNil)
	var got backendapi.Cancelled
	f.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
	f.Assert(got.Released, qt.Equals, 9)
	f.Assert(f.report().UsedTokens, qt.Equals, 0)
}

// Guards against chunked prefill in which a short prompt of higher priority waits for a long one.
func TestUrgentPromptPassesLongPrefill(t *testing.T) {
	f := start(t, Config{PrefillTokensPerS: 100_000, DecodeTokensPerS: 2000})
	long := request("long", strings.Repeat("x", 400_000)) // 1 s of prefill
	long.Priority = 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.run(ctx, long)
	for f.report().UsedTokens == 0 {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	_, _, err := f.run(ctx, request("short", strings.Repeat("x", 4000)))
	f.Assert(err, qt.IsNil)
	f.Assert(f.report().QueuedPrefillTokens > 0, qt.IsTrue, qt.Commentf("short took %v", time.Since(begin)))
}

// Guards against an engine that accepts orders with an outdated fence, from an earlier owner, although it
// isn't configured to ignore fences.
func TestFences(t *testing.T) {
	order := func(f fixture, version string, config uint64) int {
		o := backendapi.Order{Kind: "load", Model: "m", Version: version, Fence: backendapi.Fence{Config: config, Term: 1}}
		resp, err := f.call(context.Background(), http.MethodPost, "/v1/orders", o)
		f.Assert(err, qt.IsNil)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode
	}
	honours, ignores := start(t, Config{}), start(t, Config{IgnoresFences: true})
	for _, f := range []fixture{honours, ignores} {
		f.Assert(order(f, "v5", 5), qt.Equals, http.StatusOK)
	}
	honours.Assert(order(honours, "v4", 4), qt.Equals, http.StatusConflict)
	honours.Assert(honours.report().Version, qt.Equals, "v5")
	ignores.Assert(order(ignores, "v4", 4), qt.Equals, http.StatusOK)
	ignores.Assert(ignores.report().Version, qt.Equals, "v4")
	ignores.Assert(ignores.report().Fence.Config, qt.Equals, uint64(5))
}

// Guards against a crashed engine that still streams, or that keeps reserved memory across the crash.
func TestDieDropsStreamsAndMemory(t *testing.T) {
	f := start(t, fast)
	f.e.Faults.Set(Faults{HangBeforeFirst: true})
	ended := make(chan error, 1)
	go func() {
		_, _, err := f.run(context.Background(), request("a", "lot"))
		ended <- err
	}()
	for f.report().UsedTokens == 0 {
		time.Sleep(time.Millisecond)
	}
	f.e.Faults.Set(Faults{Die: true})
	f.Assert(<-ended, qt.IsNotNil)
	_, err := f.call(context.Background(), http.MethodGet, "/v1/report", nil)
	f.Assert(err, qt.IsNotNil)
	f.e.Faults.Set(Faults{})
	f.Assert(f.report().UsedTokens, qt.Equals, 0)
}

// Guards against an unbounded cache, and against events that are visible too early or are never lost.
func TestCacheEventsLagAndGap(t *testing.T) {
	f := start(t, Config{DecodeTokensPerS: 2000, CacheTokens: 2048, CacheEventLag: 200 * time.Millisecond, CacheEventLoss: 0.5, Seed: 4})
	for _, p := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
		req := request(p, "lot")
		req.Prefix = p
		_, _, err := f.run(context.Background(), req)
		f.Assert(err, qt.IsNil)
	}
	var got backendapi.CacheEvents
	f.get("/v1/cache-events?after=0", &got)
	early := len(got.Events)
	time.Sleep(250 * time.Millisecond)
	f.get("/v1/cache-events?after=0", &got)
	f.Assert(early < len(got.Events), qt.IsTrue)
	f.Assert(len(got.Events) > 0 && len(got.Events) < 10, qt.IsTrue) // 6 insertions and 4 evictions, some of them lost
	f.Assert(f.e.cache.lru.Len(), qt.Equals, 2)
}
