package serverlimit

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

const (
	// publishedCopies is the number of times that news on published limits are told before the next repetition. With many
	// cold servers at once, more copies cost the hosts more than a lost count that the next report makes good.
	publishedCopies = 1
	// Greatest size in msgpack of an item of Published: 1 for its header, 2 before the ID, 9 for the lifetime, the count and
	// the revision, 5 for the series, the age, the level and the time left.
	publishedItemBytes = 1 + 2 + 3*9 + 4*5
)

// Published is a limit that holds for a server for a time, whatever it says itself.
type Published struct {
	PerSecond float64       // of all hosts together, above 0
	Until     time.Duration // when it ends
	// FirstHand is until when this host knows of the limit other than from other hosts, 0 if it does not. Only that is told,
	// since a time that is passed on would grow with each delay on its way.
	FirstHand time.Duration
	Started   int64          // lifetime of the server
	AsOf      ident.Revision // revision of the published state up to which it is known that the limit holds
}

// PublishedUpdate is what a host tells of a server with a published limit. The fields of the same names have the meaning
// of those of ServerUpdate.
type PublishedUpdate struct {
	Server   ident.BackendID
	Started  int64
	Series   uint32
	Counting time.Duration
	Count    uint64
	Level    float64
	Left     time.Duration // for which the limit still holds, 0 if the sender knows it from others only
	AsOf     ident.Revision
}

func (s *server) isPublished() bool { return s.published.PerSecond > 0 }

// limited reports whether either limit holds.
func (s *server) limited() bool { return s.statement.Limited || s.isPublished() }

// Publish makes a limit hold for a server. It replaces the one that holds.
func (t *Table) Publish(now time.Duration, id ident.BackendID, p Published) {
	s := t.servers[id]
	if now >= p.Until || !(p.PerSecond > 0) {
		if s != nil && s.isPublished() {
			t.endPublished(now, s)
		}
		return
	}
	p.PerSecond = min(p.PerSecond, maxPerSecond)
	if s == nil {
		if s = t.add(now, id); s == nil {
			return
		}
	}
	t.advance(now, s)
	before := s.published
	if !s.isPublished() {
		t.published++
		if !s.statement.Limited {
			s.level, s.drained = 0, now
		}
		s.quiet, s.turnAt = false, 0
	}
	s.published = p
	s.level = min(s.level, s.greatest(t))
	if p.FirstHand-before.FirstHand > refresh || p.Started != before.Started {
		s.tell(now)
	}
}

func (t *Table) endPublished(now time.Duration, s *server) {
	t.advance(now, s)
	s.published = Published{}
	s.turnAt = 0
	t.published--
}

// Published returns the number of servers with a published limit.
func (t *Table) Published() int { return t.published }

// tell starts to tell news of a server.
func (s *server) tell(now time.Duration) {
	s.telling.start(now)
	if !s.statement.Limited {
		s.telling.copies = publishedCopies
	}
}

// publishedUpdate returns what is told of a server with a published limit.
func (t *Table) publishedUpdate(now time.Duration, s *server) PublishedUpdate {
	t.advance(now, s)
	return PublishedUpdate{
		Server: s.id, Started: s.published.Started, Series: s.series, Counting: max(0, now-s.added), Count: s.count, Level: s.level,
		Left: max(0, s.published.FirstHand-now), AsOf: s.published.AsOf,
	}
}

// applyPublished counts the requests of another host to a server with a published limit. The limit itself is for the caller to
// judge, which knows more of the server.
func (t *Table) applyPublished(now time.Duration, from member.Addr, incarnation ident.Incarnation, x PublishedUpdate) {
	if s := t.limitedServer(now, x.Server); s != nil {
		t.applyCount(now, s, from, incarnation, ServerUpdate{Series: x.Series, Counting: x.Counting, Count: x.Count, Level: x.Level})
	}
}
