package explain

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The request r1 arrives at edge-1 at 10:00:10.000 and ends 0.5 s later.
const edge1 = `time="2026-01-02T10:00:00.000Z" level=info msg=started host=edge-1 role=entry
time="2026-01-02T10:00:01.000Z" level=info msg="published state applied" config=4 host=edge-1 revision=7 role=entry source=snapshot
time="2026-01-02T10:00:01.001Z" level=info msg="store regained" host=edge-1 role=entry
time="2026-01-02T10:00:02.000Z" level=info msg="request answered" attempts=1 config=4 host=edge-1 omitted=3 outcome=answered request=r0 role=entry took_ms=1
time="2026-01-02T10:00:05.000Z" level=info msg="published state applied" config=4 host=edge-1 revision=8 role=entry source=changes
time="2026-01-02T10:00:06.000Z" level=info msg="published state applied" config=4 host=edge-1 revision=9 role=entry source=changes
time="2026-01-02T10:00:07.000Z" level=info msg="published state applied" config=4 host=edge-1 revision=10 role=entry source=changes
time="2026-01-02T10:00:08.000Z" level=warning msg="store lost" error=EOF host=edge-1 role=entry
time="2026-01-02T10:00:09.500Z" level=warning msg="server excluded" error=EOF host=edge-1 role=entry server=i-4 step=send
time="2026-01-02T10:00:10.100Z" level=warning msg="server excluded" error=EOF host=edge-1 role=entry server=i-1 step=send
time="2026-01-02T10:00:10.200Z" level=info msg="server refused request" at_fault= helpers=0 host=edge-1 request=r1 role=entry server=i-2 status=503
time="2026-01-02T10:00:10.300Z" level=info msg="request failed" attempts=1 config=4 host=edge-1 outcome=may-have-run peer=i-3 reason=backend_lost request=r2 role=entry step=answer took_ms=9
time="2026-01-02T10:00:10.400Z" level=warning msg="process was paused" gap_ms=150 host=edge-1 role=entry
time="2026-01-02T10:00:10.490Z" level=warning msg="server excluded" error="unexpected EOF" host=edge-1 role=entry server=i-3 step=answer
time="2026-01-02T10:00:10.500Z" level=info msg="request failed" attempts=3 config=4 engine=i-3 error="answer: backend_lost (may-have-run) peer=i-3: unexpected EOF" first_ms=450 host=edge-1 outcome=may-have-run peer=i-3 predicted_ms=100 reason=backend_lost request=r1 role=entry service=s step=answer team= took_ms=500
time="2026-01-02T10:00:11.000Z" level=info msg=stopping host=edge-1 role=entry running=0
time="2026-01-02T10:00:19.000Z" level=info msg=stopped host=edge-1 role=entry running=0
`

// The clock of edge-2 is 0.7 s ahead.
const edge2 = `time="2026-01-02T10:00:05.700Z" level=info msg="published state applied" config=4 host=edge-2 revision=8 role=entry source=changes
time="2026-01-02T10:00:06.700Z" level=info msg="published state applied" config=4 host=edge-2 revision=9 role=entry source=changes
time="2026-01-02T10:00:07.700Z" level=info msg="published state applied" config=4 host=edge-2 revision=10 role=entry source=changes
time="2026-01-02T10:00:08.700Z" level=info msg="published state applied" config=5 host=edge-2 revision=11 role=entry source=changes
time="2026-01-02T10:00:10.000Z" level=warning msg="server excluded" error=EOF host=edge-2 role=entry server=i-9 step=send
time="2026-01-02T10:00:11.100Z" level=warning msg="server excluded" error=EOF host=edge-2 role=entry server=i-3 step=send
time="2026-01-02T10:00:11.200Z" level=info msg="request failed" attempts=1 config=5 host=edge-2 outcome=not-run peer=i-3 reason=no_backend request=r3 role=entry step=dial took_ms=1
`

func sources(texts ...string) (out []Source) {
	for i, text := range texts {
		out = append(out, Source{Name: "log" + strconv.Itoa(i+1), Open: func() (io.ReadCloser, error) {
			return io.NopCloser(strings.NewReader(text)), nil
		}})
	}
	return out
}

func read(c *qt.C, id string, texts ...string) *Report {
	r, err := Read(context.Background(), Options{ID: id, Before: 6 * time.Second, After: 2 * time.Second}, sources(texts...))
	c.Assert(err, qt.IsNil)
	return r
}

func text(c *qt.C, r *Report) string {
	var out bytes.Buffer
	c.Assert(r.WriteText(&out), qt.IsNil)
	return out.String()
}

// Guards against events that are lost, related to the wrong request or counted twice, and against findings without
// evidence. The order of the logs must not matter.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	r := read(c, "r1", edge2, edge1+"garbage\n")
	c.Assert(r.Requests, qt.HasLen, 1)
	q := r.Requests[0]
	c.Assert(q.Arrived.Format(clockFormat), qt.Equals, "10:00:10.000")
	c.Assert(q.Findings(), qt.DeepEquals, []string{
		"The server broke off its answer, or the answer can't be trusted; see the error.",
		"The process was paused for up to 150 ms while the request ran.",
		"The host had lost the store 2s before the request arrived.",
		"Host edge-2 had applied configuration 5 1.3s before the request arrived; this host decided by 4.",
		"Server i-3 was excluded by 2 hosts within 1s of the request, so it was lost or slow.",
		"This host excluded 3 servers within 1s of the request, other hosts up to 2: the servers or their network failed.",
		"The request was sent 3 times, failed attempts to connect not counted; its lines name i-2, i-3; while it ran, this host excluded i-1.",
		"The first event came after 450 ms, though 100 ms were predicted: the engine had more to do than this host knew.",
	})
	c.Assert(q.Counters(), qt.DeepEquals, []string{
		`rosemaryhill_entry_requests_total{end="may-have-run/backend_lost"}`, `rosemaryhill_entry_request_seconds{kind="stream"}`,
		`rosemaryhill_entry_first_event_seconds{kind="stream"}`, `rosemaryhill_entry_rejections_total{service="s"}`,
		"rosemaryhill_entry_sent_total{zone}",
	})
	c.Assert(q.inputs(), qt.DeepEquals, []string{
		"configuration 4: first applied from snapshot, 9s before the arrival",
		"published state: revision 10 from changes, 3s before the arrival",
		"store: lost, 2s before the arrival",
		"partition: not in the logs",
		"process: started, 10s before the arrival",
	})
	c.Assert(q.serverLines(), qt.DeepEquals, []string{
		"i-2 (server): answered 0 streams, refused 1 requests",
		"i-3 (engine, peer): answered 0 streams, refused 0 requests, failed 2 (backend_lost), failed 1 (no_backend), excluded by edge-1 (+490 ms) edge-2 (+1100 ms)",
	})
	// The findings are those of a shorter time around the request too.
	short, err := Read(context.Background(), Options{ID: "r1"}, sources(edge1, edge2))
	c.Assert(err, qt.IsNil)
	c.Assert(short.Requests[0].Findings(), qt.DeepEquals, q.Findings())
	out := text(c, r)
	c.Assert(out, qt.Contains, "the clock of edge-2 seems to be 700ms ahead of that of edge-1")
	c.Assert(out, qt.Contains, "edge-1 left out 3 lines about single requests")
	c.Assert(out, qt.Contains, "log2: 1 lines are no events; the first is line 18: logline: no time=")
	for _, foreign := range []string{"i-9", "took_ms=9", "ms  started", "ms  stopped"} {
		c.Assert(out, qt.Not(qt.Contains), foreign)
	}
	positions := []int{strings.Index(out, "store lost"), strings.Index(out, "server refused"), strings.Index(out, "paused gap_ms"), strings.Index(out, "> 10:00:10.500")}
	for i := range positions[1:] {
		c.Assert(positions[i] >= 0 && positions[i] < positions[i+1], qt.IsTrue, qt.Commentf("%v\n%s", positions, out))
	}
}

// Guards against an old configuration that is read from clocks which may differ.
func TestNewerConfigurationNeedsClearLead(t *testing.T) {
	c := qt.New(t)
	q := read(c, "r1", edge1, strings.Replace(edge2, "10:00:08.700Z", "10:00:09.500Z", 1)).Requests[0]
	for _, f := range q.Findings() {
		c.Assert(f, qt.Not(qt.Contains), "had applied configuration")
	}
}

// Guards against servers that could not be connected to and go unmentioned, since such attempts are not counted.
func TestFailedDials(t *testing.T) {
	c := qt.New(t)
	dial := strings.NewReplacer("attempts=3", "attempts=0", "step=answer team=", "step=dial team=").Replace(edge1)
	c.Assert(strings.Join(read(c, "r1", dial).Requests[0].Findings(), "\n"), qt.Contains, "its lines name i-2, i-3; while it ran, this host excluded i-1.")
}

// Guards against a request that was refused because of a limit without the server that named it, and against a limit that had ended.
func TestLimitIsNamed(t *testing.T) {
	c := qt.New(t)
	line := func(at, rest string) string {
		return `time="2026-01-02T10:00:` + at + `Z" level=info host=edge-1 role=entry ` + rest + "\n"
	}
	log := line("05.000", `msg="server limits requests" server=i-1 per_second=1.4 from=server`) +
		line("06.000", `msg="server limits requests" server=i-2 per_second=3 from=10.0.0.2:7000`) +
		line("07.000", `msg="server limit ended" server=i-2 from=server`) +
		line("10.000", `msg="request failed" request=r1 outcome=not-run reason=overload step=limit attempts=0 took_ms=1 service=s`)
	findings := strings.Join(read(c, "r1", log).Requests[0].Findings(), "\n")
	c.Assert(findings, qt.Contains, "had reached the request limits that they name")
	c.Assert(findings, qt.Contains, "Server i-1 had a limit of 1.4 requests a second for all hosts, which this host knew for 5s.")
	c.Assert(findings, qt.Not(qt.Contains), "i-2")
}

// Guards against events that are sorted by a clock that was set back, and against a step that goes unmentioned.
func TestClockStepsBack(t *testing.T) {
	c := qt.New(t)
	stepped := strings.Replace(edge1, `10:00:10.490Z"`, `10:00:06.490Z"`, 1)
	out := text(c, read(c, "r1", stepped))
	c.Assert(strings.Index(out, "06.490"), qt.Not(qt.Equals), -1)
	c.Assert(strings.Index(out, "process was paused gap_ms") < strings.Index(out, "06.490"), qt.IsTrue)
	c.Assert(out, qt.Contains, "times of edge-1 step back, by up to 3.91s at log1:14")
	// Logs of one host in the wrong order are no step back.
	half := strings.Index(edge1, `time="2026-01-02T10:00:08`)
	c.Assert(text(c, read(c, "r1", edge1[half:], edge1[:half])), qt.Not(qt.Contains), "step back")
}

// Guards against an ID that matches only in part, an end that is made up, and a repeated ID whose requests are mixed.
func TestOtherEnds(t *testing.T) {
	c := qt.New(t)
	c.Assert(read(c, "r", edge1, edge2).Requests, qt.HasLen, 0)
	c.Assert(read(c, "r1", edge1, edge1, strings.ReplaceAll(edge1, "edge-1", "edge-3")).Requests, qt.HasLen, 3)
	cut := read(c, "r1", edge1[:strings.Index(edge1, `time="2026-01-02T10:00:10.400`)])
	c.Assert(cut.Requests[0].Findings()[0], qt.Contains, "The log has no end of this request")
	c.Assert(text(c, cut), qt.Contains, "no end in the logs")
}

// Guards against log messages, fields, steps and reasons that the entry host no longer writes under these names.
func TestNamesOfEntryHost(t *testing.T) {
	c := qt.New(t)
	var code []byte
	for _, pattern := range []string{"../../node/entry/*.go", "../../node/internal/httpend/*.go", "../../core/outcome/*.go"} {
		files, err := filepath.Glob(pattern)
		c.Assert(err, qt.IsNil)
		for _, name := range files {
			text, err := os.ReadFile(name)
			c.Assert(err, qt.IsNil)
			code = append(code, text...)
		}
	}
	names := []string{
		msgAnswered, msgFailed, msgRefused, msgNotReserved, msgExcluded, msgLeaving, msgServerPause, "pause_ms", msgLimit, msgLimitEnded, "per_second", msgPaused, msgApplied, msgStoreLost, msgStoreBack, msgPartition,
		msgStarted, msgPeerSilent, msgMember, "request", "outcome", "reason", "step", "peer", "engine", "server", "config", "attempts", "took_ms",
		"first_ms", "predicted_ms", "omitted", "gap_ms", "revision", "source", "member", "state", "partition", "partitions", "peers",
	}
	for key := range causes {
		names = append(names, key[0], key[1])
	}
	for _, name := range names {
		c.Assert(name == "" || bytes.Contains(code, []byte(strconv.Quote(name))), qt.IsTrue, qt.Commentf("%q", name))
	}
}
