package serverlimit

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

const (
	// copies is the number of times that news is told before the next repetition, so that few hosts miss a request for
	// so long that they send one instead.
	copies = 3
	// copySpacing is the time to the second copy. Each further one takes twice as long.
	copySpacing = 10 * time.Millisecond
	// repeatTime is how long the reports of an interval repeat news.
	repeatTime = 2 * time.Second
	// contradictSpacing is the least time after which a host tells a statement again because another host contradicts it.
	contradictSpacing = 50 * time.Millisecond
	// tie is the difference of ages below which the stricter of two statements counts: delays of the network do not show
	// which one is newer, and two hosts would swap them again and again.
	tie = 5 * time.Millisecond
	// refresh is the least difference of ages from which on an equal statement counts as a newer one. Otherwise the
	// delay of each way between hosts would make it newer.
	refresh = 100 * time.Millisecond
	// sameStart is the difference of ages below which two hosts count requests since the same time.
	sameStart = time.Second
	// levelShare is the part of the difference to the level of another host by which a host changes its own, so that
	// the levels of hosts that missed or started something do not differ for ever.
	levelShare = 0.05
	// maxPeers bounds the hosts whose counts are kept for a server.
	maxPeers = 4096
	// MaxUpdateBytes is the greatest size of an update, with the sizes below.
	MaxUpdateBytes = 900
	// maxIDBytes bounds the ID of a server whose limit is tracked.
	maxIDBytes = 255
	// Greatest sizes in msgpack: array headers of 1 and 3 bytes; of an item 1 for its header, 2 before the ID, 9 for the
	// lifetime and the count, 1 for a flag, 5 for the series, the limit, the level and the ages in ms.
	listBytes = 1 + 3
	itemBytes = 1 + 2 + 2*9 + 1 + 5*5
)

// Update is what a host tells others.
type Update struct {
	Servers   []ServerUpdate    // that name limits, or named them lately
	Published []PublishedUpdate // that have published limits
}

// ServerUpdate is what a host tells of a server.
type ServerUpdate struct {
	Server    ident.BackendID
	Started   int64         // lifetime of the server
	Statement Statement     // newest known one of this lifetime
	Age       time.Duration // of the statement
	Series    uint32        // rises when the count starts again
	Counting  time.Duration // time since the count started
	Count     uint64        // requests that the sender has sent to the server
	Level     float64       // of the sender's bucket, in requests
}

// Empty reports whether an update holds nothing.
func (u Update) Empty() bool { return len(u.Servers) == 0 && len(u.Published) == 0 }

// Bytes returns the greatest size of the encoded update, of both lists together.
func (u Update) Bytes() int {
	n := listBytes
	for _, s := range u.Servers {
		n += itemBytes + len(s.Server)
	}
	for _, s := range u.Published {
		n += publishedItemBytes + len(s.Server)
	}
	return n
}

// bytes returns the greatest size of what is told of a server.
func (s *server) bytes() int {
	n := 0
	if s.names() {
		n += itemBytes + len(s.id)
	}
	if s.isPublished() {
		n += publishedItemBytes + len(s.id)
	}
	return n
}

// names reports whether a server has named a limit that has not been forgotten.
func (s *server) names() bool { return s.started != neverStarted }

// include adds what is told of a server.
func (t *Table) include(now time.Duration, u *Update, s *server) {
	if s.names() {
		u.Servers = append(u.Servers, t.update(now, s))
	}
	if s.isPublished() {
		u.Published = append(u.Published, t.publishedUpdate(now, s))
	}
}

// peerCount is what another host has told of its requests.
type peerCount struct {
	incarnation ident.Incarnation
	series      uint32
	count       uint64
}

// telling is the progress of telling news.
type telling struct {
	copies  int // that are left
	next    time.Duration
	last    time.Duration
	changed time.Duration // when there were news
	started bool
}

func (x *telling) start(now time.Duration) {
	x.copies, x.next, x.changed, x.started = copies, now, now, true
}

// due reports whether a report on a change, or of an interval, carries the news.
func (x *telling) due(now time.Duration, interval bool) bool {
	return x.copies > 0 && now >= x.next || interval && x.started && now-x.changed < repeatTime
}

func (x *telling) told(now time.Duration) {
	if x.copies > 0 {
		x.next = now + copySpacing<<(copies-x.copies)
		x.copies--
	}
	x.last = now
}

// NextUpdate returns the time from which on TakeUpdate has something for a report that is not one of an interval.
func (t *Table) NextUpdate() (at time.Duration, due bool) {
	for _, s := range t.order {
		if x := &s.telling; x.copies > 0 && (!due || x.next < at) {
			at, due = x.next, true
		}
	}
	return at, due
}

// TakeUpdate returns what is due with the next report: news, and with that of an interval also what was new lately. At most
// MaxUpdateBytes; the rest follows with the next report.
func (t *Table) TakeUpdate(now time.Duration, interval bool) Update {
	var u Update
	if interval {
		t.expire(now)
	}
	size, n := listBytes, len(t.order)
	for i := range n {
		k := (t.nextTold + i) % n
		s := t.order[k]
		if !s.telling.due(now, interval) {
			continue
		}
		if size += s.bytes(); size > MaxUpdateBytes {
			t.nextTold = k
			break
		}
		s.telling.told(now)
		t.include(now, &u, s)
	}
	return u
}

// Whole returns limits for a host that has just started, at most MaxUpdateBytes. They take turns if there are more.
func (t *Table) Whole(now time.Duration) Update {
	var u Update
	size, n := listBytes, len(t.order)
	for i := range n {
		k := (t.nextTold + i) % n
		s := t.order[k]
		if !s.limited() {
			continue
		}
		if size += s.bytes(); size > MaxUpdateBytes {
			t.nextTold = k
			break
		}
		t.include(now, &u, s)
	}
	return u
}

func (t *Table) update(now time.Duration, s *server) ServerUpdate {
	t.advance(now, s)
	return ServerUpdate{
		Server: s.id, Started: s.started, Statement: s.statement, Age: max(0, now-s.heard), Series: s.series,
		Counting: max(0, now-s.added), Count: s.count, Level: s.level,
	}
}

// Apply takes over what another host has told, and returns the servers whose limit has changed. Updates may be lost,
// repeated and come in any order.
func (t *Table) Apply(now time.Duration, from member.Addr, incarnation ident.Incarnation, u Update) (changed []ident.BackendID) {
	for _, x := range u.Servers {
		x.Statement = x.Statement.normalize()
		s := t.servers[x.Server]
		if !x.Statement.Limited && (s == nil || !s.names()) {
			continue
		}
		if s == nil {
			if s = t.add(now, x.Server); s == nil {
				continue
			}
		}
		if t.applyStatement(now, s, x) {
			changed = append(changed, x.Server)
		}
		if s.statement.Limited {
			t.applyCount(now, s, from, incarnation, x)
		}
	}
	for _, x := range u.Published {
		t.applyPublished(now, from, incarnation, x)
	}
	return changed
}

// applyStatement takes over a newer statement and contradicts an older one.
func (t *Table) applyStatement(now time.Duration, s *server, x ServerUpdate) (changed bool) {
	heard := now - max(0, x.Age)
	equal := x.Started == s.started && x.Statement == s.statement
	if s.supersededBy(x, heard) {
		return t.set(now, s, x.Started, x.Statement, heard)
	}
	if !equal && now-s.telling.last >= contradictSpacing {
		s.telling.start(now)
	}
	return false
}

// supersededBy reports whether a statement that was made at a time counts instead of the known one.
func (s *server) supersededBy(x ServerUpdate, heard time.Duration) bool {
	switch newer := heard - s.heard; {
	case x.Started != s.started:
		return x.Started > s.started
	case x.Statement == s.statement:
		return newer > refresh
	case newer.Abs() <= tie:
		return x.Statement.stricter(s.statement)
	default:
		return newer > 0
	}
}

// applyCount drains the bucket by the requests of another host that are not counted yet.
func (t *Table) applyCount(now time.Duration, s *server, from member.Addr, incarnation ident.Incarnation, x ServerUpdate) {
	p, heard := s.peers[from]
	n := uint64(0)
	switch {
	case heard && p.incarnation == incarnation && (x.Series < p.series || x.Series == p.series && x.Count < p.count):
		return // older than what is known
	case heard && p.incarnation == incarnation && x.Series == p.series:
		n = x.Count - p.count
	case !heard && len(s.peers) >= maxPeers:
		return
	default:
		n = s.firstCount(now, x)
	}
	s.peers[from] = peerCount{incarnation, x.Series, x.Count}
	if n > 0 {
		t.drain(now, s, float64(n))
	}
	t.approach(now, s, x.Level)
}

// firstCount returns the requests that count when a host is heard for the first time. All of them do if it has not counted
// for longer than this host. Otherwise most of them are old: while it may still repeat what was new before this host
// started to count all are, and later the last one is not. For a published limit the last one counts in any case: a host that
// has started would take the whole limit for unused otherwise.
func (s *server) firstCount(now time.Duration, x ServerUpdate) uint64 {
	switch counting := now - s.added; {
	case x.Counting <= counting+sameStart:
		return x.Count
	case counting < repeatTime && !s.isPublished():
		return 0
	default:
		return min(x.Count, 1)
	}
}

// approach moves the level a little towards that of another host.
func (t *Table) approach(now time.Duration, s *server, level float64) {
	t.advance(now, s)
	level = max(s.lowest(t), min(level, s.greatest(t)))
	if level == level { // not NaN
		s.level += levelShare * (level - s.level)
	}
}

// RemoveHost forgets the counts of a host that has left or started again.
func (t *Table) RemoveHost(owner member.Addr) {
	for _, s := range t.order {
		delete(s.peers, owner)
	}
}
