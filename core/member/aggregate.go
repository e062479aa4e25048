package member

import (
	"slices"
	"sort"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// reportTTL is the time for which a member's report is used, and remoteTTL the time for which another
	// availability zone's demand is. At the design size they allow for one lost message that carries teams.
	reportTTL = 45 * time.Second
	remoteTTL = 30 * time.Second
	// reportIntervalPerMember times the number of members in the availability zone, capped at
	// maxReportInterval, is the time between two reports of one member. A delegate receives the reports
	// of all members: with 42 processes, a report every 2 s from each would alone exceed its bandwidth
	// budget.
	reportIntervalPerMember = 500 * time.Millisecond
	maxReportInterval       = 10 * time.Second
	// loadBytes and teamBytes bound the encoded load and teams of one process or availability zone, so
	// that both fit into a digest together with its header. They hold 16 models with names of 17 bytes
	// and 16 teams with names of 16 bytes.
	loadBytes = 560
	teamBytes = 400
	// originAgeMargin is how much younger a value from another origin must be to replace the current
	// one. It covers the transit time, which ages do not include.
	originAgeMargin = time.Second
)

// aggregate holds load and demand by their source, and the values computed from them.
type aggregate struct {
	nextReport time.Duration
	round      int                         // number of report intervals so far
	reports    map[ID]contribution         // by member of this availability zone; delegates only
	remotes    map[ident.Zone]contribution // by other availability zone; delegates only
	own        contribution                // total of this availability zone; delegates only
	loads      map[ident.Zone]*computed[ZoneLoad]
	teams      computed[TeamTotals]
}

type contribution struct {
	at      time.Duration
	load    []ModelLoad
	teams   []TeamDemand
	teamsAt time.Duration
}

// computed is a value computed by a delegate, with the time of its computation on this process's clock.
type computed[T any] struct {
	value    T
	at       time.Duration
	lastSent time.Duration
	known    bool
}

func (a *aggregate) init() {
	a.reports = map[ID]contribution{}
	a.remotes = map[ident.Zone]contribution{}
	a.loads = map[ident.Zone]*computed[ZoneLoad]{}
}

// newer reports whether a value with stamp s replaces the one with stamp current, computed at time at.
func newer(now time.Duration, s Stamp, current Stamp, at time.Duration) bool {
	if s.Origin == current.Origin {
		return s.Number > current.Number
	}
	return now-s.Age > at+originAgeMargin
}

func (m *Machine) mergeLoad(l ZoneLoad) {
	c := m.agg.loads[l.Zone]
	if c == nil {
		if l.Zone == "" || len(m.agg.loads) >= maxMembers {
			return
		}
		c = &computed[ZoneLoad]{}
		m.agg.loads[l.Zone] = c
	}
	if !c.known || newer(m.now, l.Stamp, c.value.Stamp, c.at) {
		*c = computed[ZoneLoad]{value: l, at: m.now - l.Stamp.Age, known: true, lastSent: c.lastSent}
		m.recordContact(l.Zone, l.Stamp.Age)
	}
}

func (m *Machine) mergeTeams(t TeamTotals) {
	c := &m.agg.teams
	if !c.known || newer(m.now, t.Stamp, c.value.Stamp, c.at) {
		*c = computed[TeamTotals]{value: t, at: m.now - t.Stamp.Age, known: true, lastSent: c.lastSent}
	}
}

// tickReport sends this process's load and demand to the delegates.
func (m *Machine) tickReport() {
	if m.now < m.agg.nextReport {
		return
	}
	interval := reportIntervalPerMember * time.Duration(len(m.zones[m.cfg.Zone]))
	m.agg.nextReport = m.now + max(m.cfg.DigestInterval, min(interval, maxReportInterval))
	if len(m.local.Load) == 0 && len(m.local.Teams) == 0 {
		return
	}
	m.agg.round++
	var teams []TeamDemand // only in every second report, because they take most of its bytes
	if m.agg.round%2 == 1 {
		teams = m.local.Teams
	} else if len(m.local.Load) == 0 {
		return
	}
	for _, id := range m.Delegates(m.cfg.Zone) {
		if id != m.cfg.Self {
			m.send(m.members[id].Addr, id, &Report{Load: m.local.Load, Teams: teams})
		}
	}
}

func (m *Machine) handleReport(msg *Report) {
	if msg.Head.Zone == m.cfg.Zone {
		c := m.agg.reports[msg.Head.ID]
		if len(msg.Teams) > 0 || m.now-c.teamsAt > reportTTL {
			c.teams, c.teamsAt = msg.Teams, m.now
		}
		c.at, c.load = m.now, msg.Load
		m.agg.reports[msg.Head.ID] = c
	}
}

func (a *aggregate) recordRemote(z ident.Zone, msg *Digest, now time.Duration) {
	if len(msg.Teams) > 0 {
		a.remotes[z] = contribution{at: now, teams: msg.Teams}
	}
}

// computeZone computes the load and demand of this availability zone and the teams with the highest
// demand over all availability zones.
func (m *Machine) computeZone() {
	free := map[ident.Model]int64{}
	delay := map[ident.Model]time.Duration{}
	demand := map[ident.Team]float64{}
	add := func(c contribution) {
		for _, l := range c.load {
			if d, ok := delay[l.Model]; !ok || l.QueueDelay < d {
				delay[l.Model] = l.QueueDelay // the minimum, because new requests go to the shortest queue
			}
			free[l.Model] += l.FreeTokens
		}
		sumTeams(demand, c.teams)
	}
	add(contribution{load: m.local.Load, teams: m.local.Teams})
	for _, id := range sortedKeys(m.agg.reports) {
		c := m.agg.reports[id]
		if e := m.members[id]; e == nil || e.State == Dead || m.now-c.at > reportTTL {
			delete(m.agg.reports, id)
			continue
		}
		add(c)
	}
	own := contribution{at: m.now, teams: topTeams(demand)}
	for _, model := range sortedKeys(free) {
		own.load = append(own.load, ModelLoad{Model: model, FreeTokens: free[model], QueueDelay: delay[model]})
	}
	own.load = fitLoad(own.load)
	m.agg.own = own
	for _, z := range sortedKeys(m.agg.remotes) {
		if m.now-m.agg.remotes[z].at <= remoteTTL {
			sumTeams(demand, m.agg.remotes[z].teams)
		}
	}
	stamp := Stamp{Origin: m.cfg.Self, Number: m.stampNumber()}
	m.mergeLoad(ZoneLoad{Zone: m.cfg.Zone, Stamp: stamp, Load: own.load})
	m.mergeTeams(TeamTotals{Stamp: stamp, Teams: topTeams(demand)})
}

func sumTeams(sum map[ident.Team]float64, teams []TeamDemand) {
	for _, t := range teams {
		sum[t.Team] += t.Demand
	}
}

// topTeams returns the teams with the highest demand in descending order, at most MaxTeams.
func topTeams(demand map[ident.Team]float64) []TeamDemand {
	var list []TeamDemand
	for _, team := range sortedKeys(demand) {
		list = append(list, TeamDemand{Team: team, Demand: demand[team]})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Demand > list[j].Demand })
	return fitTeams(list)
}

// fitLoad and fitTeams truncate a list to its maximum length and its share of a datagram.
func fitLoad(list []ModelLoad) []ModelLoad {
	list = list[:min(len(list), MaxModels)]
	for sizeLoad(list) > loadBytes {
		list = list[:len(list)-1]
	}
	return list
}

func fitTeams(list []TeamDemand) []TeamDemand {
	list = list[:min(len(list), MaxTeams)]
	for sizeTeams(list) > teamBytes {
		list = list[:len(list)-1]
	}
	return list
}

func sortedKeys[K ~string, V any](set map[K]V) []K {
	keys := make([]K, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// pickComputed adds the least recently sent computed value to a message: the load of an availability
// zone in this region, or the teams with the highest demand.
func (m *Machine) pickComputed(p *Piggyback, limit int) {
	var oldest *computed[ZoneLoad]
	for _, z := range sortedKeys(m.agg.loads) {
		c := m.agg.loads[z]
		if m.now-c.at <= reportTTL && c.value.size() <= limit && (oldest == nil || c.lastSent < oldest.lastSent) {
			oldest = c
		}
	}
	teams := &m.agg.teams
	fits := teams.known && m.now-teams.at <= reportTTL && teams.value.size() <= limit
	switch {
	case fits && (oldest == nil || teams.lastSent <= oldest.lastSent):
		teams.lastSent = m.now
		t := teams.value
		t.Stamp.Age = m.now - teams.at
		p.Teams = []TeamTotals{t}
	case oldest != nil:
		oldest.lastSent = m.now
		l := oldest.value
		l.Stamp.Age = m.now - oldest.at
		p.Loads = []ZoneLoad{l}
	}
}

// Load returns the latest known load of each model in an availability zone, ordered by model.
func (m *Machine) Load(zone ident.Zone) []ModelLoad {
	if c := m.agg.loads[zone]; c != nil {
		return slices.Clone(c.value.Load)
	}
	return nil
}

// Teams returns the teams with the highest demand over all availability zones in descending order, at
// most 16.
func (m *Machine) Teams() []TeamDemand { return slices.Clone(m.agg.teams.value.Teams) }
