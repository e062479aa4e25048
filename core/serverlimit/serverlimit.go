// Package serverlimit holds all hosts together to the number of requests a second that a backend server in need accepts
// from them.
//
// Each host keeps a token bucket of the whole limit for each limited server. Its own requests drain it, and so do those of
// other hosts, which tell each other cumulative counts (Update). There is no owner whose loss would matter, and a host
// without requests leaves its part to the others. Hosts that wait for the same token would all take it before they hear of
// each other, so each waits for a level of its own, drawn again after each request. Hosts that are silent may only be cut
// off from this one and still send: while some are, a host uses only the part of the limit that belongs to the hosts it
// hears, so that the parts of a divided fleet stay within the limit together.
//
// The Table does no I/O and reads no clock.
package serverlimit

import (
	"iter"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

// Config configures a Table. Zero fields take the package's defaults.
type Config struct {
	// Seed makes the levels at which hosts send differ: a number that other hosts do not have, such as the incarnation.
	Seed uint64
	// ProbeInterval is the time between two requests of all hosts together to a server whose limit is lower. A longer
	// time finds the end of the limit later, a shorter one loads a server that accepts nothing.
	ProbeInterval time.Duration
	// ContentionTime is the time after a request for each host in which the waiting hosts spread their next ones. A
	// longer time makes a host wait longer for a token that nobody else takes, a shorter one lets more hosts take the
	// same token before they hear of each other.
	ContentionTime time.Duration
}

// Defaults of Config.
const (
	ProbeInterval  = 10 * time.Second
	ContentionTime = 30 * time.Millisecond
)

const (
	// maxServers bounds the limited servers that are tracked. The limits of others are ignored.
	maxServers = 1024
	// maxPerSecond bounds a limit, so that no sum overflows.
	maxPerSecond = 1e6
	// burst and burstSeconds give the greatest level of a bucket. A server in need gets no more at once after a quiet
	// time.
	burst        = 2.0
	burstSeconds = 0.5
	// debt and debtSeconds give the lowest level. After more requests than the limit allows, such as orders or those of
	// a host that was cut off, a server would get none for long otherwise.
	debt        = 4.0
	debtSeconds = 4.0
	// highestDraw keeps the level that a host waits for below the greatest one, which rounding may not reach.
	highestDraw = 0.98
	// quietTime is the time without requests after which hosts take turns, at most maxTurn after they are asked: the bucket
	// is so full then that all of them would send at once. They do so until the bucket holds less than 1 request, or for
	// maxTurn after the first one.
	quietTime = 5 * time.Second
	maxTurn   = 2 * time.Second
	// endedTTL is how long the end of a limit is remembered, so that older statements do not bring it back.
	endedTTL = 30 * time.Second
)

// Statement is what a server says with an answer: whether it accepts a limited number of requests, and how many a second
// from all hosts together.
type Statement struct {
	Limited   bool
	PerSecond float64
}

// normalize returns a statement that all hosts compare alike: limits in 32 bits, as on the wire, and within bounds.
func (s Statement) normalize() Statement {
	if !s.Limited {
		return Statement{}
	}
	if !(s.PerSecond > 0) { // also NaN
		s.PerSecond = 0
	}
	s.PerSecond = float64(float32(min(s.PerSecond, maxPerSecond)))
	return s
}

// stricter reports whether s allows less than o.
func (s Statement) stricter(o Statement) bool {
	return s.Limited && (!o.Limited || s.PerSecond < o.PerSecond)
}

// Table holds the limited servers that a host knows of. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	servers    map[ident.BackendID]*server
	order      []*server // in the order in which they were added
	limited    int       // servers whose limit has not ended
	live       int       // other hosts that report
	known      int       // other hosts that may send requests
	nextSeries uint32
	nextTold   int // index in order of the first server of the next update
}

// server is a server that has named a limit.
type server struct {
	id        ident.BackendID
	added     time.Duration
	started   int64 // lifetime of the newest statement
	statement Statement
	heard     time.Duration // when a server said so last
	level     float64       // tokens at the time of updated
	updated   time.Duration
	draw      float64 // 0 to highestDraw: share of the spread for which this host waits
	draws     uint64
	drained   time.Duration // when a host sent last, as far as is known
	quiet     bool          // hosts take turns
	quietEnd  time.Duration // when they no longer do once a host has sent
	turnAt    time.Duration // when it is the turn of this host, 0 until it is asked
	series    uint32        // of count
	count     uint64        // requests that this host has sent
	peers     map[member.Addr]peerCount
	telling   telling
}

// NewTable returns a table without limits.
func NewTable(cfg Config) *Table {
	if cfg.ProbeInterval == 0 {
		cfg.ProbeInterval = ProbeInterval
	}
	if cfg.ContentionTime == 0 {
		cfg.ContentionTime = ContentionTime
	}
	return &Table{cfg: cfg, servers: map[ident.BackendID]*server{}}
}

// SetHosts sets the numbers of other hosts that may send to the servers: those that report now, and all that are known,
// silent ones included.
func (t *Table) SetHosts(now time.Duration, live, known int) {
	live = max(0, live)
	known = max(live, known)
	if live == t.live && known == t.known {
		return
	}
	for _, s := range t.order {
		t.advance(now, s)
	}
	t.live, t.known = live, known
}

// Hear records what a server of a lifetime has said with an answer. It reports whether the limit has changed. Statements of
// an older lifetime are ignored, and a newer one ends the limit.
func (t *Table) Hear(now time.Duration, id ident.BackendID, started int64, said Statement) (changed bool) {
	said = said.normalize()
	s := t.servers[id]
	if s == nil {
		if !said.Limited {
			return false
		}
		if s = t.add(now, id); s == nil {
			return false
		}
	}
	if started < s.started {
		return false
	}
	return t.set(now, s, started, said, now)
}

// set takes over a statement that a server made at a time.
func (t *Table) set(now time.Duration, s *server, started int64, said Statement, heard time.Duration) (changed bool) {
	before := s.statement
	changed = said != before || started != s.started
	t.advance(now, s)
	s.started, s.statement, s.heard = started, said, heard
	if !changed {
		return false
	}
	switch {
	case said.Limited && !before.Limited:
		t.limited++
		s.level, s.drained, s.quiet = 0, now, false
	case !said.Limited && before.Limited:
		t.limited--
	}
	s.level = min(s.level, s.greatest(t))
	s.telling.start(now)
	return said != before
}

// add adds a server without a limit, or returns nil if there is no room.
func (t *Table) add(now time.Duration, id ident.BackendID) *server {
	if len(id) > maxIDBytes {
		return nil
	}
	if len(t.order) >= maxServers {
		t.expire(now + endedTTL)
		if len(t.order) >= maxServers {
			return nil
		}
	}
	t.nextSeries++
	s := &server{id: id, added: now, started: math.MinInt64, updated: now, drained: now, series: t.nextSeries, peers: map[member.Addr]peerCount{}}
	s.redraw(t)
	t.servers[id] = s
	t.order = append(t.order, s)
	return s
}

// expire forgets limits that ended long ago.
func (t *Table) expire(now time.Duration) {
	if len(t.order) == t.limited {
		return
	}
	t.remove(func(s *server) bool { return !s.statement.Limited && now-s.telling.changed >= endedTTL })
}

// Retain forgets the servers that keep rejects, such as those that have left the catalog.
func (t *Table) Retain(keep func(id ident.BackendID) bool) {
	t.remove(func(s *server) bool { return !keep(s.id) })
}

func (t *Table) remove(drop func(*server) bool) {
	kept := t.order[:0]
	for _, s := range t.order {
		if !drop(s) {
			kept = append(kept, s)
			continue
		}
		delete(t.servers, s.id)
		if s.statement.Limited {
			t.limited--
		}
	}
	clear(t.order[len(kept):])
	t.order = kept
}

// rate returns the tokens a second that the hosts which this one hears may use.
func (s *server) rate(t *Table) float64 {
	return s.perSecond(t) * float64(t.live+1) / float64(t.known+1)
}

// perSecond returns the tokens a second of all hosts.
func (s *server) perSecond(t *Table) float64 {
	return max(s.statement.PerSecond, 1/t.cfg.ProbeInterval.Seconds())
}

// greatest returns the greatest level.
func (s *server) greatest(t *Table) float64 { return burst + burstSeconds*s.perSecond(t) }

// lowest returns the lowest level.
func (s *server) lowest(t *Table) float64 { return -debt - debtSeconds*s.perSecond(t) }

// needed returns the level from which on this host may send: 1 or up to the greatest one, more with more hosts that may
// wait for the same token.
func (s *server) needed(t *Table) float64 {
	spread := s.perSecond(t) * t.cfg.ContentionTime.Seconds() * float64(t.live)
	return 1 + s.draw*min(spread, s.greatest(t)-1)
}

// redraw chooses another level to wait for.
func (s *server) redraw(t *Table) {
	s.draws++
	x := xxhash.Sum64String(string(s.id)) ^ t.cfg.Seed*0x9e3779b97f4a7c15 ^ s.draws*0xbf58476d1ce4e5b9
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	x ^= x >> 32
	s.draw = highestDraw * float64(x>>11) / (1 << 53)
}

// advance adds the tokens since the last call.
func (t *Table) advance(now time.Duration, s *server) {
	if now > s.updated {
		if s.statement.Limited {
			s.level = min(s.greatest(t), s.level+s.rate(t)*(now-s.updated).Seconds())
		}
		s.updated = now
		switch {
		case now-s.drained >= quietTime:
			s.quiet = true
		case s.quiet && now >= s.quietEnd:
			s.quiet, s.turnAt = false, 0
		}
	}
}

// drain takes tokens for requests of any host.
func (t *Table) drain(now time.Duration, s *server, n float64) {
	t.advance(now, s)
	s.level = max(s.lowest(t), s.level-n)
	if now-s.drained >= quietTime {
		s.quietEnd = now + maxTurn
	}
	s.drained = now
	if s.level < 1 || !s.quiet {
		s.quiet, s.turnAt = false, 0
	}
	s.redraw(t)
}

// limitedServer returns a server with a limit, or nil.
func (t *Table) limitedServer(id ident.BackendID) *server {
	if t.limited == 0 {
		return nil
	}
	if s := t.servers[id]; s != nil && s.statement.Limited {
		return s
	}
	return nil
}

// Allows reports whether one more request may be sent to a server now.
func (t *Table) Allows(now time.Duration, id ident.BackendID) bool {
	s := t.limitedServer(id)
	if s == nil {
		return true
	}
	t.advance(now, s)
	return s.level >= s.needed(t) && now >= s.turn(t, now)
}

// turn returns the time from which on this host may send after a quiet time, which is now at other times.
func (s *server) turn(t *Table, now time.Duration) time.Duration {
	if !s.quiet && now-s.drained < quietTime {
		return now
	}
	if s.turnAt == 0 {
		s.turnAt = now + time.Duration(s.draw*float64(min(maxTurn, time.Duration(t.live)*t.cfg.ContentionTime)))
	}
	return s.turnAt
}

// Take counts a request or an order that is sent now, whether it is allowed or not.
func (t *Table) Take(now time.Duration, id ident.BackendID) {
	if s := t.limitedServer(id); s != nil {
		s.count++
		t.drain(now, s, 1)
		s.turnAt = 0
		s.telling.start(now)
	}
}

// FreeAt returns the earliest time at which a request is allowed if no host sends one before.
func (t *Table) FreeAt(now time.Duration, id ident.BackendID) time.Duration {
	s := t.limitedServer(id)
	if s == nil {
		return now
	}
	t.advance(now, s)
	at := now
	if missing := s.needed(t) - s.level; missing > 0 {
		at += time.Duration(missing/s.rate(t)*float64(time.Second)) + time.Microsecond // rounding must not make it early
	}
	return max(at, s.turn(t, at))
}

// AfterPause drops the tokens that were added while the process did not run: what other hosts sent meanwhile is not known
// yet.
func (t *Table) AfterPause(now time.Duration) {
	for _, s := range t.order {
		t.advance(now, s)
		s.level = min(s.level, 0)
	}
}

// Limit returns the limit of a server in requests a second of all hosts together.
func (t *Table) Limit(id ident.BackendID) (perSecond float64, limited bool) {
	if s := t.limitedServer(id); s != nil {
		return s.statement.PerSecond, true
	}
	return 0, false
}

// Limited returns the number of limited servers.
func (t *Table) Limited() int { return t.limited }

// Limits iterates over the limited servers and their limits in requests a second.
func (t *Table) Limits() iter.Seq2[ident.BackendID, float64] {
	return func(yield func(ident.BackendID, float64) bool) {
		for _, s := range t.order {
			if s.statement.Limited && !yield(s.id, s.statement.PerSecond) {
				return
			}
		}
	}
}

// Empty reports whether the table holds neither limits nor limits that ended lately.
func (t *Table) Empty() bool { return len(t.order) == 0 }
