// Package serverlimit holds all hosts together to the number of requests a second that a backend server in need accepts
// from them, or that is published for the server, such as for a cold one. Of two limits the stricter one holds.
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
	// PublishedFrom is the time from which on requests go to servers with a published limit. A host that has just started
	// does not know yet with how many others it shares a limit.
	PublishedFrom time.Duration
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
	// publishedBurst and publishedBurstSeconds give the greatest level of a bucket with a published limit. A window of 1 s
	// may hold 1.5 times the limit and 5: this burst leaves more than half of what is beyond the limit to requests that hosts
	// send before they hear of each other.
	publishedBurst        = 1.0
	publishedBurstSeconds = 0.2
	// levelsPerHost is the spread of the levels at which hosts send to a server with a published limit, for each of them. It
	// may go beyond the greatest level, so that only some of the hosts may send at the same time whatever the level is.
	levelsPerHost = 0.5
	// redrawTime is how long a host waits for a level that may be beyond the greatest one.
	redrawTime = 250 * time.Millisecond
	// activeTime is the time after a request in which a host waits for a level of at most activeShare of the burst, so that few
	// hosts with many requests use a limit up. The limit itself bounds the hosts that have sent as recently.
	activeTime = 250 * time.Millisecond
	// ownSpacing is the least time between two requests of a host to a server with a published limit, as a part of the time
	// between two requests of the limit: others would take its burst for unused until they hear of them.
	ownSpacing  = 0.25
	activeShare = 0.5
	// neverStarted is the lifetime of a server that has named no limit.
	neverStarted = math.MinInt64
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
	published  int       // servers with a published limit
	live       int       // other hosts that report
	fresh      int       // those whose reports are not late
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
	published Published     // PerSecond is 0 without a published limit
	took      time.Duration // when this host sent last
	drawn     time.Duration // when draw was chosen
	hasTaken  bool
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
	t.SetFreshHosts(now, live, live, known)
}

// SetFreshHosts is SetHosts with the number of those hosts whose latest report is not late. Only these count for published
// limits: both sides of a fleet that has just been divided would use them whole until the reports expire.
func (t *Table) SetFreshHosts(now time.Duration, fresh, live, known int) {
	live = max(0, live)
	fresh = max(0, min(fresh, live))
	known = max(live, known)
	if fresh == t.fresh && live == t.live && known == t.known {
		return
	}
	for _, s := range t.order {
		t.advance(now, s)
	}
	t.fresh, t.live, t.known = fresh, live, known
}

// Hear records what a server of a lifetime has said with an answer. It reports whether the limit has changed. Statements of
// an older lifetime are ignored, and a newer one ends the limit.
func (t *Table) Hear(now time.Duration, id ident.BackendID, started int64, said Statement) (changed bool) {
	said = said.normalize()
	s := t.servers[id]
	if !said.Limited && (s == nil || !s.names()) {
		return false
	}
	if s == nil {
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
		if !s.isPublished() {
			s.level, s.drained, s.quiet = 0, now, false
		}
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
	s := &server{id: id, added: now, started: neverStarted, updated: now, drained: now, series: t.nextSeries, peers: map[member.Addr]peerCount{}}
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
	for _, s := range t.order {
		if s.isPublished() && now >= s.published.Until {
			t.endPublished(now, s)
		}
	}
	t.remove(func(s *server) bool { return !s.limited() && now-s.telling.changed >= endedTTL })
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
		if s.isPublished() {
			t.published--
		}
	}
	clear(t.order[len(kept):])
	t.order = kept
}

// rate returns the tokens a second that the hosts which this one hears may use.
func (s *server) rate(t *Table) float64 {
	heard := t.live
	if s.isPublished() {
		heard = t.fresh
	}
	return s.perSecond(t) * float64(heard+1) / float64(t.known+1)
}

// perSecond returns the tokens a second of all hosts: the stricter one of the two limits.
func (s *server) perSecond(t *Table) float64 {
	named := max(s.statement.PerSecond, 1/t.cfg.ProbeInterval.Seconds())
	switch {
	case !s.isPublished():
		return named
	case !s.statement.Limited:
		return s.published.PerSecond
	}
	return min(named, s.published.PerSecond)
}

// greatest returns the greatest level.
func (s *server) greatest(t *Table) float64 {
	if s.isPublished() {
		return publishedBurst + publishedBurstSeconds*s.perSecond(t)
	}
	return burst + burstSeconds*s.perSecond(t)
}

// lowest returns the lowest level.
func (s *server) lowest(t *Table) float64 { return -debt - debtSeconds*s.perSecond(t) }

// needed returns the level from which on this host may send: 1 or up to the greatest one, more with more hosts that may
// wait for the same token.
func (s *server) needed(t *Table, now time.Duration) float64 {
	if s.isPublished() {
		return s.neededPublished(t, now)
	}
	spread := s.perSecond(t) * t.cfg.ContentionTime.Seconds() * float64(t.live)
	return 1 + s.draw*min(spread, s.greatest(t)-1)
}

// neededPublished is needed for a published limit. The level may be beyond the greatest one; then another one is drawn after
// redrawTime.
func (s *server) neededPublished(t *Table, now time.Duration) float64 {
	if now-s.drawn >= redrawTime {
		s.redraw(t)
		s.drawn = now
	}
	spread := levelsPerHost * float64(t.live)
	if s.hasTaken && now-s.took < activeTime {
		spread = min(spread, activeShare*(s.greatest(t)-1))
	}
	return 1 + s.draw*spread
}

// publishedFrom returns the time before which this host sends nothing to a server with a published limit.
func (s *server) publishedFrom(t *Table) time.Duration {
	if !s.hasTaken || t.live == 0 {
		return t.cfg.PublishedFrom
	}
	return max(t.cfg.PublishedFrom, s.took+time.Duration(ownSpacing/s.perSecond(t)*float64(time.Second)))
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
		if s.limited() {
			from := s.updated
			if s.isPublished() {
				from = min(now, max(from, t.cfg.PublishedFrom))
			}
			s.level = min(s.greatest(t), s.level+s.rate(t)*(now-from).Seconds())
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
	s.drawn = now
}

// limitedServer returns a server with a limit, or nil.
func (t *Table) limitedServer(now time.Duration, id ident.BackendID) *server {
	if t.limited == 0 && t.published == 0 {
		return nil
	}
	s := t.servers[id]
	if s == nil {
		return nil
	}
	if s.isPublished() && now >= s.published.Until {
		t.endPublished(now, s)
	}
	if !s.limited() {
		return nil
	}
	return s
}

// Allows reports whether one more request may be sent to a server now.
func (t *Table) Allows(now time.Duration, id ident.BackendID) bool {
	s := t.limitedServer(now, id)
	if s == nil {
		return true
	}
	t.advance(now, s)
	return s.level >= s.needed(t, now) && now >= s.turn(t, now)
}

// turn returns the time from which on this host may send after a quiet time, which is now at other times.
func (s *server) turn(t *Table, now time.Duration) time.Duration {
	if s.isPublished() {
		return max(now, s.publishedFrom(t))
	}
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
	if s := t.limitedServer(now, id); s != nil {
		s.count++
		t.drain(now, s, 1)
		s.turnAt, s.took, s.hasTaken = 0, now, true
		s.tell(now)
	}
}

// FreeAt returns the earliest time at which a request is allowed if no host sends one before. For a published limit it may only
// be when to ask again.
func (t *Table) FreeAt(now time.Duration, id ident.BackendID) time.Duration {
	s := t.limitedServer(now, id)
	if s == nil {
		return now
	}
	t.advance(now, s)
	at := now
	if s.isPublished() {
		at = max(now, t.cfg.PublishedFrom)
	}
	needed := s.needed(t, now)
	if s.isPublished() && needed > s.greatest(t) {
		return max(s.drawn+redrawTime, s.publishedFrom(t))
	}
	if missing := needed - s.level; missing > 0 {
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

// Limit returns the limit that a server has named, in requests a second of all hosts together.
func (t *Table) Limit(id ident.BackendID) (perSecond float64, limited bool) {
	if t.limited == 0 {
		return 0, false
	}
	if s := t.servers[id]; s != nil && s.statement.Limited {
		return s.statement.PerSecond, true
	}
	return 0, false
}

// InForce returns the stricter one of the limits of a server, named or published, in requests a second of all hosts together.
func (t *Table) InForce(now time.Duration, id ident.BackendID) (perSecond float64, published, limited bool) {
	s := t.limitedServer(now, id)
	if s == nil {
		return 0, false, false
	}
	published = s.isPublished() && !(s.statement.Limited && s.statement.PerSecond < s.published.PerSecond)
	if published {
		return s.published.PerSecond, true, true
	}
	return s.statement.PerSecond, false, true
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
