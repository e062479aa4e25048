package coldstart

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	second = time.Second
	// late is a time at which the host has been running for longer than a server is cold.
	late = 100 * second
)

// world is the published state of a service, and a host that follows it.
type world struct {
	table    *Table
	cold     catalog.Cold
	servers  map[ident.BackendID]Server
	revision ident.Revision
	zones    map[string]time.Duration
}

func (w *world) TakenBack(zone string) (time.Duration, bool) {
	at, ok := w.zones[zone]
	return at, ok
}

// newWorld returns a world with the server "a", whose entry says that it is warm, and a host that knows it since its start at 0.
func newWorld() *world {
	w := &world{
		table: NewTable(0), cold: catalog.Cold{Time: 3 * second, PerSecond: 26}, servers: map[ident.BackendID]Server{},
		zones: map[string]time.Duration{},
	}
	w.write("a", 1, 0)
	w.sync(0)
	return w
}

func (w *world) write(id ident.BackendID, started int64, coldFor time.Duration) {
	w.revision++
	w.servers[id] = Server{Server: catalog.Server{ID: id, Zone: "z", Started: started, Revision: w.revision, ColdFor: coldFor}}
}

func (w *world) sync(now time.Duration) {
	var services []Listed
	if w.cold.Limits() {
		services = []Listed{{&catalog.Service{Name: "s", Cold: w.cold}, func(yield func(Server) bool) {
			for _, s := range w.servers {
				if !yield(s) {
					return
				}
			}
		}}}
	}
	w.table.Sync(now, w.revision, w, services)
}

// left returns for how long a server is cold.
func (w *world) left(now time.Duration, id ident.BackendID) time.Duration {
	w.table.Tick(now)
	for x := range w.table.Cold() {
		if x.Server == id {
			return x.Until - now
		}
	}
	return 0
}

// Guards against a fleet that starts as a whole and takes all servers for cold.
func TestServersOfAStartingFleetAreWarm(t *testing.T) {
	w := newWorld()
	w.write("b", 2, 0)
	w.sync(2 * second)
	qt.Check(t, w.left(2*second, "a"), qt.Equals, time.Duration(0))
	qt.Check(t, w.left(2*second, "b"), qt.Equals, time.Duration(0))
}

// Guards against an entry that says the server is cold without effect, also at the start of the host.
func TestEntry(t *testing.T) {
	w := newWorld()
	w.write("a", 1, 2*second)
	w.sync(second)
	qt.Check(t, w.left(second, "a"), qt.Equals, 2*second)
	w.sync(2 * second) // the same revision
	qt.Check(t, w.left(2*second, "a"), qt.Equals, second)
	qt.Check(t, w.left(3*second, "a"), qt.Equals, time.Duration(0))
}

// Guards against a new server, or one that has started again, that is taken for warm because its first entry does not say
// otherwise.
func TestNewLifetime(t *testing.T) {
	w := newWorld()
	w.write("a", 5, 0)
	w.write("b", 5, 0)
	w.sync(late)
	qt.Check(t, w.left(late, "a"), qt.Equals, 3*second)
	qt.Check(t, w.left(late+second, "b"), qt.Equals, 2*second)
	w.write("b", 5, 0)
	w.sync(late + second)
	qt.Check(t, w.left(late+second, "b"), qt.Equals, time.Duration(0), qt.Commentf("a later entry says that it is warm"))
	qt.Check(t, w.left(late+second, "a"), qt.Equals, 2*second)
}

// Guards against a source whose longer time does not hold.
func TestLongestTimeHolds(t *testing.T) {
	w := newWorld()
	w.write("a", 2, 5*second)
	w.sync(late)
	qt.Check(t, w.left(late, "a"), qt.Equals, 5*second)
	w.table.Answer(late, "a", 2, 7*second, w.revision)
	w.table.Hear(late, "a", 2, 6*second, w.revision)
	qt.Check(t, w.left(late, "a"), qt.Equals, 7*second)
}

// Guards against an answer that is ignored, one of another lifetime that counts, and a state that ends because of an entry that
// was written before the answer.
func TestAnswer(t *testing.T) {
	w := newWorld()
	w.table.Answer(late, "a", 9, second, w.revision)
	qt.Check(t, w.left(late, "a"), qt.Equals, time.Duration(0))
	w.table.Answer(late, "a", 1, 2*second, 10) // another host has had revision 10
	qt.Check(t, w.left(late, "a"), qt.Equals, 2*second)
	w.revision = 9
	w.write("a", 1, 0) // revision 10
	w.sync(late)
	qt.Check(t, w.left(late, "a"), qt.Equals, 2*second)
	w.write("a", 1, 0)
	w.sync(late)
	qt.Check(t, w.left(late, "a"), qt.Equals, time.Duration(0))
}

// Guards against a zone that is taken back and a server whose entry returns that get their whole load at once.
func TestReturnOfZoneAndEntry(t *testing.T) {
	w := newWorld()
	w.zones["z"] = late
	w.sync(late + second)
	qt.Check(t, w.left(late+second, "a"), qt.Equals, 2*second)
	w.sync(late + 5*second)
	qt.Check(t, w.left(late+5*second, "a"), qt.Equals, time.Duration(0))

	lapsing := w.servers["a"]
	lapsing.Lapsing = true
	w.servers["a"] = lapsing
	w.sync(late + 6*second)
	qt.Check(t, w.left(late+6*second, "a"), qt.Equals, time.Duration(0))
	w.write("a", 1, 0)
	w.sync(late + 7*second)
	qt.Check(t, w.left(late+7*second, "a"), qt.Equals, 3*second)

	delete(w.servers, "a")
	w.sync(late + 20*second)
	qt.Check(t, w.left(late+20*second, "a"), qt.Equals, time.Duration(0))
	w.write("a", 1, 0)
	w.sync(late + 30*second)
	qt.Check(t, w.left(late+30*second, "a"), qt.Equals, 3*second)
}

// Guards against what another host says of a server that this one does not know yet, and which is lost until it does; against
// claims on an earlier lifetime, and against claims that a known later entry has ended.
func TestPeer(t *testing.T) {
	w := newWorld()
	w.table.Hear(second, "b", 7, 2*second, 50)
	qt.Check(t, w.left(second, "b"), qt.Equals, time.Duration(0))
	w.write("b", 7, 0)
	w.sync(2 * second)
	qt.Check(t, w.left(2*second, "b"), qt.Equals, second)
	for x := range w.table.Cold() {
		qt.Check(t, x.FirstHand, qt.Equals, time.Duration(0))
	}
	w.table.Hear(2*second, "b", 6, 9*second, 50)
	qt.Check(t, w.left(2*second, "b"), qt.Equals, second)
	w.table.Hear(2*second, "a", 1, second, 0)
	qt.Check(t, w.left(2*second, "a"), qt.Equals, time.Duration(0))
}

// Guards against a restarted host that makes all others take a server for cold, whose entry was written long ago.
func TestEntriesReadAtTheStartAreNoNews(t *testing.T) {
	w := newWorld()
	w.write("a", 1, 2*second)
	w.table = NewTable(0)
	w.sync(0)
	qt.Check(t, w.left(0, "a"), qt.Equals, 2*second)
	for x := range w.table.Cold() {
		qt.Check(t, x.FirstHand, qt.Equals, time.Duration(0))
	}
}

// Guards against services without limits for cold servers that are tracked, and against servers that all count as new when a
// running service gets such limits.
func TestServicesWithoutLimits(t *testing.T) {
	w := newWorld()
	w.table, w.cold.PerSecond = NewTable(0), 0
	w.write("a", 1, 2*second)
	w.sync(0)
	w.table.Hear(second, "a", 1, 2*second, 50)
	qt.Check(t, w.table.servers, qt.HasLen, 0)
	w.cold.PerSecond = 26
	w.write("a", 1, 0)
	w.sync(late)
	qt.Check(t, w.left(late, "a"), qt.Equals, time.Duration(0))
}

// Guards against a change that is reported twice or with the wrong source.
func TestChanges(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.write("a", 1, 2*second)
	w.sync(late)
	w.sync(late)
	got := w.table.TakeChanges()
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].News && got[0].Cold && got[0].Source == Entry && got[0].PerSecond == 26, qt.IsTrue, qt.Commentf("%+v", got))
	w.write("a", 1, 0)
	w.sync(late + second)
	got = w.table.TakeChanges()
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].News && !got[0].Cold && got[0].Early, qt.IsTrue, qt.Commentf("%+v", got))
	w.write("a", 1, second)
	w.sync(late + 2*second)
	w.table.TakeChanges()
	w.table.Tick(late + 4*second)
	got = w.table.TakeChanges()
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].News && !got[0].Cold && !got[0].Early, qt.IsTrue, qt.Commentf("%+v", got))
}

// Guards against a memory of past servers that grows without bound.
func TestTableIsBounded(t *testing.T) {
	w := newWorld()
	for i := range 2 * maxServers {
		w.table.Hear(late, ident.BackendID(slices.Repeat([]byte{byte(i), byte(i >> 8)}, 8)), 1, second, 0)
	}
	qt.Check(t, len(w.table.servers) <= maxServers, qt.IsTrue)
	w.table.Tick(late + 2*second)
	qt.Check(t, w.table.servers, qt.HasLen, 1)
}

// Guards against a server that counts as warm because its entry in a store that came back from a copy, which has a higher revision
// than the reason for its coldness, was written before it.
func TestEntryOfAnotherEraEndsNoColdness(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.sync(late)
	w.table.Answer(late, "a", 1, 2*second, w.revision+5)
	w.revision, _ = ident.NewRevision(1, 1)
	w.write("a", 1, 0)
	w.sync(late)
	c.Assert(w.left(late, "a"), qt.Equals, 2*second)
	w.table.Answer(late+second, "a", 1, 2*second, w.revision)
	w.write("a", 1, 0)
	w.sync(late + second)
	c.Assert(w.left(late+second, "a"), qt.Equals, time.Duration(0))
}
