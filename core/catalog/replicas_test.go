package catalog

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// publishedLog is a source of changes, from which readers take snapshots in several calls.
type publishedLog struct {
	changes []Change
	version int
	era     uint64
}

func (l *publishedLog) revision() ident.Revision { return rev(l.era, uint64(len(l.changes))) }

// restore brings a copy with the first n changes back, in the next era.
func (l *publishedLog) restore(n int) {
	l.changes = slices.Clone(l.changes[:n])
	l.era++
	for i := range l.changes {
		c := &l.changes[i]
		c.Revision = rev(l.era, uint64(i+1))
		if c.Server != nil {
			c.Server = c.Server.at(c.Revision)
		}
	}
}

// follow brings a table up to date with the log, as a reader of the store does it.
func (l *publishedLog) follow(now time.Duration, x *Table) {
	if x.Config() != nil && x.Revision().Era() == l.era {
		x.Apply(now, l.changes[x.Revision().Number():])
		return
	}
	s := Snapshot{Revision: l.revision()}
	servers, cfg := l.at(l.revision())
	s.Servers, s.Config = slices.Collect(maps.Values(servers)), cfg
	for _, zone := range zoneNames {
		if x := l.evacuatedAt(zone, l.revision()); x.Revision != 0 {
			s.Evacuations = append(s.Evacuations, x)
		}
	}
	x.Replace(now, s)
}

func (l *publishedLog) publish(c Change) {
	c.Revision = l.revision() + 1
	if c.Server != nil {
		c.Server.Revision = c.Revision
	}
	l.changes = append(l.changes, c)
}

func (l *publishedLog) putServer(id ident.BackendID, state ServerState) {
	s := server(string(id), 0)
	s.State = state
	l.publish(Change{Server: &s})
}

func (l *publishedLog) putConfig() {
	l.version++
	l.publish(Change{Config: config(l.version)})
}

// at returns the state at a revision.
func (l *publishedLog) at(revision ident.Revision) (servers map[ident.BackendID]Server, cfg *Config) {
	servers = map[ident.BackendID]Server{}
	for _, c := range l.changes[:revision.Number()] {
		switch {
		case c.Config != nil:
			cfg = c.Config
		case c.Server != nil:
			servers[c.Server.ID] = *c.Server
		default:
			delete(servers, c.Removed)
		}
	}
	return servers, cfg
}

func drawRevision(t *rapid.T, from, to ident.Revision, label string) ident.Revision {
	return ident.Revision(rapid.Uint64Range(uint64(from), uint64(to)).Draw(t, label))
}

// evacuatedAt returns the evacuation of a zone at a revision; its own revision is 0 if there is none.
func (l *publishedLog) evacuatedAt(zone string, revision ident.Revision) (x Evacuation) {
	x.Zone = zone
	for _, c := range l.changes[:revision.Number()] {
		switch zone {
		case c.Evacuated:
			x.Revision = c.Revision
		case c.TakenBack:
			x.Revision = 0
		}
	}
	return x
}

// read returns a snapshot: each server, the configuration, and then each zone, as of a revision between from and the latest
// one.
func (l *publishedLog) read(t *rapid.T, from ident.Revision) Snapshot {
	s := Snapshot{Revision: from, ReadUntil: from}
	for _, id := range serverIDs {
		s.ReadUntil = drawRevision(t, s.ReadUntil, l.revision(), "page")
		servers, _ := l.at(s.ReadUntil)
		if srv, listed := servers[id]; listed {
			s.Servers = append(s.Servers, srv)
		}
	}
	s.ReadUntil = drawRevision(t, s.ReadUntil, l.revision(), "page")
	_, s.Config = l.at(s.ReadUntil)
	for _, zone := range zoneNames {
		s.ReadUntil = drawRevision(t, s.ReadUntil, l.revision(), "page")
		if x := l.evacuatedAt(zone, s.ReadUntil); x.Revision != 0 {
			s.Evacuations = append(s.Evacuations, x)
		}
	}
	return s
}

var serverIDs = []ident.BackendID{"a", "b", "c", "d"}

var zoneNames = []string{"y", "z"}

// heldEvacuations holds, for each zone, the latest evacuation that a table has held, and whether it has ended there.
type heldEvacuations map[string]struct {
	revision ident.Revision
	ended    bool
}

// check fails the test if the evacuations of a table are not those of its revision or of later ones, if one has come back after
// its end, or if one has ended that the store has not ended.
func (h heldEvacuations) check(t *rapid.T, x *Table, l *publishedLog) {
	held := map[string]ident.Revision{}
	for _, e := range x.Evacuations() {
		held[e.Zone] = e.Revision
	}
	for _, zone := range zoneNames {
		last, now := h[zone], held[zone]
		r := max(last.revision, x.Revision())
		for r <= l.revision() && l.evacuatedAt(zone, r).Revision != now {
			r++
		}
		if r > l.revision() || (now != 0 && (now < last.revision || (now == last.revision && last.ended))) {
			t.Fatalf("a table at revision %d has zone %s evacuated at %d, before %+v; published are %+v", x.Revision(), zone, now, last, l.changes)
		}
		if last.ended = now == 0; now != 0 {
			last.revision = now
		}
		h[zone] = last
	}
}

// update brings a follower up to date from a peer, as hosts do it.
func update(follower, peer *Table) {
	held := ident.Version(0)
	if c := follower.Config(); c != nil {
		held = c.Version
	}
	if peer.Config() == nil || (peer.Revision() <= follower.Revision() && peer.Config().Version <= held) {
		return
	}
	snapshot, changes := peer.ForPeer(follower.Revision(), held)
	if snapshot != nil {
		follower.Replace(0, *snapshot)
		return
	}
	follower.Apply(0, changes)
	follower.Advance(peer.Revision())
}

// Guards against a host that keeps an old configuration, a removed server or an ended evacuation for good, after it has
// followed a host that read the store while they changed: in several calls, or again after the history was dropped. Guards
// also against an evacuation that an older change or snapshot begins again or ends.
func TestHostsConvergeWhateverTheyFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &publishedLog{}
		l.putConfig()
		tables := []*Table{NewTable(), NewTable(), NewTable(), NewTable()}
		held := map[*Table]heldEvacuations{}
		for _, x := range tables {
			held[x] = heldEvacuations{}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			x := rapid.SampledFrom(tables).Draw(t, "host")
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1:
				l.putServer(rapid.SampledFrom(serverIDs).Draw(t, "id"), ServerState(rapid.IntRange(0, 1).Draw(t, "state")))
			case 2:
				l.publish(Change{Removed: rapid.SampledFrom(serverIDs).Draw(t, "id")})
			case 3:
				l.putConfig()
			case 4:
				x.Replace(0, l.read(t, drawRevision(t, x.Revision(), l.revision(), "from")))
			case 5:
				if x.Config() != nil {
					x.Apply(0, l.changes[x.Revision():drawRevision(t, x.Revision(), l.revision(), "to")])
				}
			case 6:
				update(x, rapid.SampledFrom(tables).Draw(t, "peer"))
			case 7:
				*x = *NewTable()
				held[x] = heldEvacuations{}
			case 8:
				l.publish(Change{Evacuated: rapid.SampledFrom(zoneNames).Draw(t, "zone")})
			case 9:
				l.publish(Change{TakenBack: rapid.SampledFrom(zoneNames).Draw(t, "zone")})
			case 10:
				if x.Config() != nil { // an older snapshot
					x.Replace(0, l.read(t, drawRevision(t, 0, x.Revision(), "from")))
				}
			}
			held[x].check(t, x, l)
		}
		if tables[0].Config() == nil {
			tables[0].Replace(0, l.read(t, 0))
		}
		tables[0].Apply(0, l.changes[tables[0].Revision():])
		for _, x := range tables[1:] {
			update(x, tables[0])
		}
		servers, cfg := l.at(l.revision())
		for i, x := range tables {
			got := map[ident.BackendID]Server{}
			for _, s := range x.Snapshot().Servers {
				got[s.ID] = s
			}
			if x.Config().Version != cfg.Version || !reflect.DeepEqual(got, servers) {
				t.Fatalf("host %d has configuration %d and servers %v, published are %d and %v", i, x.Config().Version, got, cfg.Version, servers)
			}
			held[x].check(t, x, l) // at the latest revision
		}
	})
}

// Guards against a host at a later revision than a listing that never gets the configuration which was read after it.
func TestConfigurationNewerThanListing(t *testing.T) {
	reader, follower := NewTable(), NewTable()
	follower.Replace(0, Snapshot{Revision: 29, Config: config(13)})
	reader.Replace(0, Snapshot{Revision: 29, ReadUntil: 32, Config: config(16)})
	s := server("a", 30)
	for _, c := range []Change{{Revision: 30, Server: &s}, {Revision: 32, Config: config(16)}, {Revision: 33, Removed: "a"}} {
		reader.Apply(0, []Change{c})
		update(follower, reader)
		if got := follower.Config().Version; got != 16 {
			t.Fatalf("the follower has configuration %d at revision %d", got, follower.Revision())
		}
	}
	// A host that has passed over a configuration is given it, also if it has reached the latest revision.
	behind := NewTable()
	behind.Replace(time.Second, Snapshot{Revision: 29, Config: config(13)})
	behind.Advance(33)
	update(behind, reader)
	if got := fmt.Sprint(behind.Config().Version, behind.Revision()); got != "16 33" {
		t.Fatalf("configuration and revision are %s", got)
	}
}
