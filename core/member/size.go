package member

// Upper bounds of encoded sizes in bytes: msgpack takes at most 9 bytes for a number, 2 bytes in addition
// to the content of a string below 256 bytes, and 3 bytes for the header of an array.
const (
	numberBytes = 9
	stringBytes = 2
	arrayBytes  = 3
	typeBytes   = 2 // message type and field count
)

func sizeStr(n int) int { return stringBytes + n }

func (h *Head) size() int {
	return arrayBytes + sizeStr(len(h.ID)) + sizeStr(len(h.Zone)) + sizeStr(len(h.Addr)) + 5*numberBytes + 1
}

func (m *Member) size() int {
	return arrayBytes + sizeStr(len(m.ID)) + sizeStr(len(m.Zone)) + sizeStr(len(m.Addr)) + 2*numberBytes + 1
}

func (m *LeavingMark) size() int { return 1 + sizeStr(len(m.Name)) + 5 }

func (s *Stamp) size() int { return sizeStr(len(s.Origin)) + numberBytes + 5 }

func sizeLoad(load []ModelLoad) int {
	n := arrayBytes
	for _, l := range load {
		n += 1 + sizeStr(len(l.Model)) + numberBytes + 5
	}
	return n
}

func sizeTeams(teams []TeamDemand) int {
	n := arrayBytes
	for _, t := range teams {
		n += 1 + sizeStr(len(t.Team)) + 5
	}
	return n
}

func (z *ZoneLoad) size() int   { return 1 + sizeStr(len(z.Zone)) + z.Stamp.size() + sizeLoad(z.Load) }
func (t *TeamTotals) size() int { return 1 + t.Stamp.size() + sizeTeams(t.Teams) }

func (p *Piggyback) size() int {
	n := 1 + 4*arrayBytes
	for i := range p.Members {
		n += p.Members[i].size()
	}
	for i := range p.Marks {
		n += p.Marks[i].size()
	}
	for i := range p.Loads {
		n += p.Loads[i].size()
	}
	for i := range p.Teams {
		n += p.Teams[i].size()
	}
	return n
}

// Size implements Message.
func (m *Ping) Size() int { return typeBytes + m.Head.size() + numberBytes + m.Updates.size() }

// Size implements Message.
func (m *Ack) Size() int { return typeBytes + m.Head.size() + numberBytes + m.Updates.size() }

// Size implements Message.
func (m *PingReq) Size() int {
	return typeBytes + m.Head.size() + numberBytes + sizeStr(len(m.Target)) + m.Updates.size()
}

// Size implements Message.
func (m *Urgent) Size() int { return typeBytes + m.Head.size() + m.Updates.size() }

// Size implements Message.
func (m *Digest) Size() int {
	return typeBytes + m.Head.size() + sizeStr(len(m.Region)) + numberBytes + sizeLoad(m.Load) + sizeTeams(m.Teams) + m.Updates.size()
}

// Size implements Message.
func (m *Sync) Size() int {
	n := typeBytes + m.Head.size() + 2 + arrayBytes
	for _, h := range m.Hashes {
		n += 1 + sizeStr(len(h.Zone)) + numberBytes + 5
	}
	return n
}

// Size implements Message.
func (m *Records) Size() int {
	n := typeBytes + m.Head.size() + arrayBytes
	for i := range m.Members {
		n += m.Members[i].size()
	}
	return n
}

// Size implements Message.
func (m *Report) Size() int {
	return typeBytes + m.Head.size() + sizeLoad(m.Load) + sizeTeams(m.Teams)
}
