package member

import "time"

// prober probes the members of the availability zone in random order, one at a time.
type prober struct {
	next         time.Duration // start of the next probe
	order        []ID          // members still to be probed in this round
	seq          uint64
	target       ID // empty if no probe is running
	targetSeq    uint64
	indirectAt   time.Duration // when indirect probes start if there is no Ack
	indirectSent bool
	relays       []relayedProbe
}

// relayedProbe is a probe run on behalf of another member.
type relayedProbe struct {
	seq   uint64 // in the Ping that this process sent
	to    Addr   // of the member that asked for the probe
	toID  ID     // of that member
	toSeq uint64 // in its PingReq
	until time.Duration
}

// maxRelays limits the concurrent probes on behalf of other members.
const maxRelays = 64

func (p *prober) reset() { p.target, p.relays = "", nil }

func (m *Machine) tickProbe() {
	p := &m.probe
	if p.target != "" && !p.indirectSent && m.now >= p.indirectAt {
		m.sendIndirectProbes()
	}
	if m.now < p.next {
		return
	}
	p.next += m.cfg.ProbeInterval
	if p.next <= m.now {
		p.next = m.now + m.cfg.ProbeInterval
	}
	if e := m.members[p.target]; e != nil && e.State == Alive {
		suspect := e.Member
		suspect.State = Suspect
		m.merge(suspect)
	}
	p.target = ""
	m.startProbe()
}

// startProbe pings the next member that is not dead.
func (m *Machine) startProbe() {
	p := &m.probe
	for range 2 {
		for len(p.order) > 0 {
			id := p.order[0]
			p.order = p.order[1:]
			e := m.members[id]
			if e == nil || e.State == Dead || e.Zone != m.cfg.Zone || id == m.cfg.Self {
				continue
			}
			p.seq++
			p.target, p.targetSeq, p.indirectSent = id, p.seq, false
			p.indirectAt = m.now + m.cfg.ProbeTimeout
			m.send(e.Addr, id, &Ping{Seq: p.seq})
			return
		}
		p.order = append(p.order, m.zones[m.cfg.Zone]...)
		m.rng.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
}

// sendIndirectProbes asks random members to probe the target.
func (m *Machine) sendIndirectProbes() {
	p := &m.probe
	p.indirectSent = true
	helpers := m.aliveMembers(m.cfg.Zone, p.target)
	m.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, e := range helpers[:min(len(helpers), m.cfg.IndirectProbes)] {
		m.send(e.Addr, e.ID, &PingReq{Seq: p.targetSeq, Target: p.target})
	}
}

// aliveMembers returns the members of an availability zone in state Alive, without this process and the member
// given by except.
func (m *Machine) aliveMembers(zone zoneName, except ID) []*entry {
	var list []*entry
	for _, id := range m.zones[zone] {
		if e := m.members[id]; e.State == Alive && id != except && id != m.cfg.Self {
			list = append(list, e)
		}
	}
	return list
}

// relayProbe pings a target on behalf of the member that sent a PingReq.
func (m *Machine) relayProbe(from Addr, msg *PingReq) {
	p := &m.probe
	e := m.members[msg.Target]
	if e == nil {
		return
	}
	kept := p.relays[:0]
	for _, r := range p.relays {
		if m.now < r.until {
			kept = append(kept, r)
		}
	}
	p.relays = kept
	if len(p.relays) >= maxRelays {
		return
	}
	p.seq++
	p.relays = append(p.relays, relayedProbe{seq: p.seq, to: from, toID: msg.Head.ID, toSeq: msg.Seq, until: m.now + m.cfg.ProbeInterval})
	m.send(e.Addr, e.ID, &Ping{Seq: p.seq})
}

// handleAck ends the running probe with the given sequence number, or forwards the Ack to the member that
// asked for the probe.
func (m *Machine) handleAck(seq uint64) {
	p := &m.probe
	if p.target != "" && seq == p.targetSeq {
		p.target = ""
		return
	}
	for i, r := range p.relays {
		if r.seq == seq {
			p.relays = append(p.relays[:i], p.relays[i+1:]...)
			m.send(r.to, r.toID, &Ack{Seq: r.toSeq})
			return
		}
	}
}
