package explain

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Log messages of entry hosts.
const (
	msgAnswered    = "request answered"
	msgFailed      = "request failed"
	msgRefused     = "server refused request"
	msgNotReserved = "memory not reserved"
	msgExcluded    = "server excluded"
	msgLeaving     = "server leaving"
	msgServerPause = "server wants no requests"
	msgLimit       = "server limits requests"
	msgLimitEnded  = "server limit ended"
	msgPaused      = "process was paused"
	msgApplied     = "published state applied"
	msgStoreLost   = "store lost"
	msgStoreBack   = "store regained"
	msgPartition   = "partition changed"
	msgStarted     = "started"
	msgPeerSilent  = "peer state not read"
	msgMember      = "member changed"
)

// Request is one request at one host.
type Request struct {
	Host           string
	Events         []Event   // its own lines; the last one is its end, unless the log lacks that
	Arrived, Ended time.Time // on the host's clock; Arrived is Ended less took_ms
	State          State
	// Related holds the events that concern the request's host or servers, by the host that wrote them, in order. It
	// includes the request's own lines.
	Related map[string][]Event
	Left    int // related events beyond maxEvents, which are left out
	Servers map[string]*Server

	keptOwn        int // related events of the request's host
	keptOther      int // related events of all other hosts
	from, until    time.Time
	storeLostHosts map[string]bool
	excluded       map[string]map[string]bool      // by host: the servers that it excluded close to the request
	revisions      map[string]map[string]time.Time // by host and revision: when it was applied
	newerConfig    Event                           // earliest known event of another host with a newer configuration
}

// State holds the last events before the arrival that tell what the host knew. An event without a time is not in the
// logs.
type State struct {
	Started     Event
	Applied     Event // last change of the published state
	Config      Event // first change with the configuration version of the request
	Store       Event // store lost or regained
	Partition   Event
	LastPause   Event
	Unreachable Event // last "peer state not read"
}

// Server counts what happened at a server of the request around it.
type Server struct {
	Uses       []string                 // how the request names it: engine, server, peer
	ExcludedBy map[string]time.Duration // by host: the exclusion closest to the request, from its arrival
	Answered   int
	Refused    int
	Failed     map[string]int // requests by reason
}

func (q *Request) add(e Event) { q.Events = append(q.Events, e) }

// End returns the last line of the request. ok is false if the log lacks its end.
func (q *Request) End() (e Event, ok bool) {
	e = q.Events[len(q.Events)-1]
	return e, e.Message == msgAnswered || e.Message == msgFailed
}

func (q *Request) ended() bool {
	_, ok := q.End()
	return ok
}

// prepare sets what relate needs, once all lines of the request are known.
func (q *Request) prepare(o Options) {
	q.Arrived, q.Ended = q.Events[0].Time, q.Events[len(q.Events)-1].Time
	if e, ok := q.End(); ok {
		took, _ := e.Int("took_ms")
		q.Arrived = q.Ended.Add(-time.Duration(took) * time.Millisecond)
	}
	q.from, q.until = q.Arrived.Add(-o.Before), q.Ended.Add(o.After)
	q.Related = map[string][]Event{}
	q.Servers = map[string]*Server{}
	q.storeLostHosts, q.excluded = map[string]bool{}, map[string]map[string]bool{}
	q.revisions = map[string]map[string]time.Time{}
	for _, e := range q.Events {
		for _, use := range []string{"engine", "server", "peer"} {
			q.addServer(e.Get(use), use)
		}
		if m := peerInError.FindStringSubmatch(e.Get("error")); m != nil {
			q.addServer(m[1], "peer")
		}
	}
}

// peerInError matches the server that an error names.
var peerInError = regexp.MustCompile(`\bpeer=([^\s:]+)`)

func (q *Request) addServer(id, use string) {
	if id == "" {
		return
	}
	s := q.Servers[id]
	if s == nil {
		s = &Server{ExcludedBy: map[string]time.Duration{}, Failed: map[string]int{}}
		q.Servers[id] = s
	}
	if !slices.Contains(s.Uses, use) {
		s.Uses = append(s.Uses, use)
	}
}

// relate records an event of any host if it helps to explain the request.
func (q *Request) relate(e Event) {
	if e.Host == q.Host && !e.Time.After(q.Arrived) {
		q.State.update(e, q.Events[len(q.Events)-1].Get("config"))
	}
	if e.Host != q.Host && e.Message == msgApplied {
		q.relateConfig(e)
	}
	slack := time.Duration(0)
	if e.Host != q.Host {
		slack = clockSlack
	}
	if q.within(e.Time, max(slack, countAround)) {
		q.count(e)
	}
	if !q.within(e.Time, slack) || !q.concerns(e) {
		return
	}
	kept := &q.keptOther
	if e.Host == q.Host {
		kept = &q.keptOwn
	}
	if *kept >= maxEvents {
		q.Left++
		return
	}
	*kept++
	q.Related[e.Host] = append(q.Related[e.Host], e)
}

// within reports whether t is between from and until, or at most the given time outside.
func (q *Request) within(t time.Time, outside time.Duration) bool {
	return !t.Before(q.from.Add(-outside)) && !t.After(q.until.Add(outside))
}

// concerns reports whether an event belongs to the request or concerns its host or its servers.
func (q *Request) concerns(e Event) bool {
	id := q.Events[0].Get("request")
	switch e.Message {
	case msgAnswered, msgFailed, msgRefused, msgNotReserved:
		return e.Get("request") == id && e.Host == q.Host
	}
	if e.Host == q.Host {
		other := e.Get("request")
		return other == "" || other == id
	}
	return q.Servers[e.Get("server")] != nil || strings.HasPrefix(e.Get("member"), q.Host+"/")
}

// count counts an event around the request.
func (q *Request) count(e Event) {
	switch e.Message {
	case msgStoreLost:
		q.storeLostHosts[e.Host] = true
	case msgApplied:
		if q.revisions[e.Host] == nil {
			q.revisions[e.Host] = map[string]time.Time{}
		}
		if len(q.revisions[e.Host]) < maxEvents {
			q.revisions[e.Host][e.Get("revision")] = e.Time
		}
	case msgExcluded:
		q.countExclusion(e)
	case msgRefused:
		if s := q.Servers[e.Get("server")]; s != nil {
			s.Refused++
		}
	case msgAnswered:
		if s := q.Servers[e.Get("engine")]; s != nil {
			s.Answered++
		}
	case msgFailed:
		if s := q.Servers[cmp.Or(e.Get("peer"), e.Get("engine"))]; s != nil {
			s.Failed[e.Get("reason")]++
		}
	}
}

func (q *Request) countExclusion(e Event) {
	id := e.Get("server")
	if q.distance(e.Time) <= clockSlack {
		if q.excluded[e.Host] == nil {
			q.excluded[e.Host] = map[string]bool{}
		}
		q.excluded[e.Host][id] = true
	}
	s := q.Servers[id]
	if s == nil {
		return
	}
	if before, ok := s.ExcludedBy[e.Host]; !ok || q.distance(e.Time) < q.distance(q.Arrived.Add(before)) {
		s.ExcludedBy[e.Host] = e.Time.Sub(q.Arrived)
	}
}

// distance returns the time between t and the request, 0 while it ran.
func (q *Request) distance(t time.Time) time.Duration {
	return max(0, q.Arrived.Sub(t), t.Sub(q.Ended))
}

// relateConfig records a newer configuration that another host held well before the arrival.
func (q *Request) relateConfig(e Event) {
	own, ok := q.Events[len(q.Events)-1].Int("config")
	other, has := e.Int("config")
	if !ok || !has || other <= own || !e.Time.Before(q.Arrived.Add(-clockSlack)) {
		return
	}
	if q.newerConfig.Time.IsZero() || e.Time.Before(q.newerConfig.Time) {
		q.newerConfig = e
	}
}

// update records an event of the request's host from before the arrival.
func (s *State) update(e Event, config string) {
	latest := func(at *Event) {
		if !e.Time.Before(at.Time) {
			*at = e
		}
	}
	switch e.Message {
	case msgStarted:
		latest(&s.Started)
	case msgStoreLost, msgStoreBack:
		latest(&s.Store)
	case msgPartition:
		latest(&s.Partition)
	case msgPaused:
		latest(&s.LastPause)
	case msgPeerSilent:
		latest(&s.Unreachable)
	case msgApplied:
		latest(&s.Applied)
		if e.Get("config") == config && (s.Config.Time.IsZero() || e.Time.Before(s.Config.Time)) {
			s.Config = e
		}
	}
}

// sort orders the related events of each host by time, or as in the log where the host's clock was set back.
func (q *Request) sort(hosts map[string]*HostLog) {
	for host, events := range q.Related {
		slices.SortStableFunc(events, func(a, b Event) int {
			if hosts[host].StepBack > 0 {
				return cmp.Compare(a.order, b.order)
			}
			return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.order, b.order))
		})
	}
}

// OtherHosts returns the names of the other hosts with related events, sorted.
func (q *Request) OtherHosts() []string {
	names := slices.Sorted(maps.Keys(q.Related))
	return slices.DeleteFunc(names, func(n string) bool { return n == q.Host })
}
