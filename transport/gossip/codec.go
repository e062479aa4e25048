package gossip

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
	"github.com/zeebo/errs"
)

// Error classes of the codec.
var (
	// ErrDatagram: a datagram cannot be decoded, or a message has an unknown type.
	ErrDatagram = errs.Class("gossip: bad datagram")
	// ErrTooLarge: a message does not fit in a datagram.
	ErrTooLarge = errs.Class("gossip: too large")
)

// Message types. The numbers must not change, because peers of other versions read them.
const (
	typePing = iota + 1
	typeAck
	typePingReq
	typeUrgent
	typeDigest
	typeSync
	typeRecords
	typeReport
)

// Limits of fields. The datagram size of 1,200 bytes limits them further.
const (
	maxString = 255 // bytes
	maxList   = 256 // values of an array
	// maxAge bounds ages and times to live, which also prevents overflow.
	maxAge = 24 * time.Hour
)

// codec encodes and decodes datagrams. It is not safe for concurrent use. A datagram is a msgpack array of the
// type, the head and the fields of the message in order.
type codec struct {
	w *pack.Writer
	r *pack.Reader
}

func newCodec() *codec { return &codec{w: pack.NewWriter(), r: pack.NewReader()} }

// encode returns the datagram of a message. The bytes are valid until the next call.
func (c *codec) encode(m member.Message) ([]byte, error) {
	w := c.w
	w.Buf = w.Buf[:0]
	switch m := m.(type) {
	case *member.Ping:
		c.putHead(typePing, &m.Head, 2)
		w.Uint(m.Seq)
		c.putPiggyback(&m.Updates)
	case *member.Ack:
		c.putHead(typeAck, &m.Head, 2)
		w.Uint(m.Seq)
		c.putPiggyback(&m.Updates)
	case *member.PingReq:
		c.putHead(typePingReq, &m.Head, 3)
		w.Uint(m.Seq)
		w.Str(string(m.Target))
		c.putPiggyback(&m.Updates)
	case *member.Urgent:
		c.putHead(typeUrgent, &m.Head, 1)
		c.putPiggyback(&m.Updates)
	case *member.Digest:
		c.putHead(typeDigest, &m.Head, 5)
		w.Str(m.Region)
		w.FixedUint64(m.Hash)
		c.putLoad(m.Load)
		c.putTeams(m.Teams)
		c.putPiggyback(&m.Updates)
	case *member.Sync:
		c.putHead(typeSync, &m.Head, 3)
		w.Bool(m.Reply)
		w.Bool(m.Partial)
		w.Array(len(m.Hashes))
		for _, h := range m.Hashes {
			w.Array(3)
			w.Str(string(h.Zone))
			w.FixedUint64(h.Hash)
			c.putAge(h.Age)
		}
	case *member.Records:
		c.putHead(typeRecords, &m.Head, 1)
		c.putMembers(m.Members)
	case *member.Report:
		c.putHead(typeReport, &m.Head, 2)
		c.putLoad(m.Load)
		c.putTeams(m.Teams)
	default:
		return nil, ErrDatagram.New("message %T", m)
	}
	if len(w.Buf) > MaxDatagram {
		return nil, ErrTooLarge.New("%T of %d bytes, at most %d allowed", m, len(w.Buf), MaxDatagram)
	}
	return w.Buf, nil
}

func (c *codec) putHead(typ uint64, h *member.Head, fields int) {
	w := c.w
	w.Array(2 + fields)
	w.Uint(typ)
	w.Array(9)
	w.Str(string(h.ID))
	w.Str(string(h.Zone))
	w.Str(string(h.Addr))
	w.FixedUint64(uint64(h.Incarnation))
	w.Uint(h.Epoch)
	w.Bool(h.Leaving)
	w.Uint(uint64(h.Config.Version))
	w.FixedUint64(h.Config.Digest)
	w.Uint(h.Hosts)
}

func (c *codec) putAge(d time.Duration) { c.w.Uint(uint64(max(d, 0).Milliseconds())) }

func (c *codec) putPiggyback(p *member.Piggyback) {
	w := c.w
	if len(p.Members)+len(p.Marks)+len(p.Loads)+len(p.Teams) == 0 {
		w.Array(0)
		return
	}
	w.Array(4)
	c.putMembers(p.Members)
	w.Array(len(p.Marks))
	for _, k := range p.Marks {
		w.Array(2)
		w.Str(k.Name)
		c.putAge(k.TTL)
	}
	w.Array(len(p.Loads))
	for _, l := range p.Loads {
		w.Array(5)
		w.Str(string(l.Zone))
		c.putStamp(l.Stamp)
		c.putLoad(l.Load)
	}
	w.Array(len(p.Teams))
	for _, t := range p.Teams {
		w.Array(4)
		c.putStamp(t.Stamp)
		c.putTeams(t.Teams)
	}
}

func (c *codec) putStamp(s member.Stamp) {
	c.w.Str(string(s.Origin))
	c.w.Uint(s.Number)
	c.putAge(s.Age)
}

func (c *codec) putMembers(list []member.Member) {
	w := c.w
	w.Array(len(list))
	for _, r := range list {
		w.Array(6)
		w.Str(string(r.ID))
		w.Str(string(r.Zone))
		w.Str(string(r.Addr))
		w.FixedUint64(uint64(r.Incarnation))
		w.Uint(r.Epoch)
		flags := uint64(r.State) << 1
		if r.Leaving {
			flags |= 1
		}
		w.Uint(flags)
	}
}

func (c *codec) putLoad(list []member.ModelLoad) {
	w := c.w
	w.Array(len(list))
	for _, l := range list {
		w.Array(3)
		w.Str(string(l.Model))
		w.Int(l.FreeTokens)
		c.putAge(l.QueueDelay)
	}
}

func (c *codec) putTeams(list []member.TeamDemand) {
	w := c.w
	w.Array(len(list))
	for _, t := range list {
		w.Array(2)
		w.Str(string(t.Team))
		w.Float(float32(t.Demand))
	}
}

// decode returns the message of a datagram. The message holds copies, so b may be reused.
func (c *codec) decode(b []byte) (member.Message, error) {
	if len(b) > MaxDatagram {
		return nil, ErrTooLarge.New("%d bytes, at most %d allowed", len(b), MaxDatagram)
	}
	c.r.Reset(b)
	fields := c.r.Array(8)
	typ := c.r.Uint(math.MaxUint8)
	m, want := newMessage(typ)
	if m == nil {
		c.r.Fail("type %d", typ)
	} else if fields != want+2 {
		c.r.Fail("%d fields in type %d", fields, typ)
	} else {
		c.getHead(m.Header())
		c.getFields(m)
	}
	if err := c.r.Finish(); err != nil {
		return nil, ErrDatagram.Wrap(err)
	}
	return m, nil
}

func newMessage(typ uint64) (m member.Message, fields int) {
	switch typ {
	case typePing:
		return &member.Ping{}, 2
	case typeAck:
		return &member.Ack{}, 2
	case typePingReq:
		return &member.PingReq{}, 3
	case typeUrgent:
		return &member.Urgent{}, 1
	case typeDigest:
		return &member.Digest{}, 5
	case typeSync:
		return &member.Sync{}, 3
	case typeRecords:
		return &member.Records{}, 1
	case typeReport:
		return &member.Report{}, 2
	default:
		return nil, 0
	}
}

func (c *codec) str() string { return c.r.Str(maxString) }

func (c *codec) uint() uint64 { return c.r.Uint(math.MaxUint64) }

func (c *codec) age() time.Duration {
	return time.Duration(c.r.Uint(uint64(maxAge.Milliseconds()))) * time.Millisecond
}

func (c *codec) getHead(h *member.Head) {
	c.r.Fields(9)
	h.ID = member.ID(c.str())
	h.Zone = ident.Zone(c.str())
	h.Addr = member.Addr(c.str())
	h.Incarnation = ident.Incarnation(c.uint())
	h.Epoch = c.epoch()
	h.Leaving = c.r.Bool()
	h.Config.Version = ident.Version(c.uint())
	h.Config.Digest = c.uint()
	h.Hosts = c.uint()
	if h.ID == "" || h.Zone == "" || h.Addr == "" || h.Incarnation == 0 {
		c.r.Fail("head without sender")
	}
}

// epoch rejects numbers in the upper half of the range. A member refutes a statement with a higher epoch, which would
// not exist at the end of the range.
func (c *codec) epoch() uint64 { return c.r.Uint(math.MaxUint64 >> 1) }

func (c *codec) getFields(m member.Message) {
	switch m := m.(type) {
	case *member.Ping:
		m.Seq = c.uint()
		c.getPiggyback(&m.Updates)
	case *member.Ack:
		m.Seq = c.uint()
		c.getPiggyback(&m.Updates)
	case *member.PingReq:
		m.Seq = c.uint()
		m.Target = member.ID(c.str())
		c.getPiggyback(&m.Updates)
	case *member.Urgent:
		c.getPiggyback(&m.Updates)
	case *member.Digest:
		m.Region = c.str()
		m.Hash = c.uint()
		m.Load = c.getLoad()
		m.Teams = c.getTeams()
		c.getPiggyback(&m.Updates)
	case *member.Sync:
		m.Reply = c.r.Bool()
		m.Partial = c.r.Bool()
		for range c.r.Array(maxList) {
			c.r.Fields(3)
			m.Hashes = append(m.Hashes, member.ZoneHash{Zone: ident.Zone(c.str()), Hash: c.uint(), Age: c.age()})
		}
	case *member.Records:
		m.Members = c.getMembers()
	case *member.Report:
		m.Load = c.getLoad()
		m.Teams = c.getTeams()
	}
}

func (c *codec) getPiggyback(p *member.Piggyback) {
	n := c.r.Array(4)
	if n == 0 {
		return
	}
	if n != 4 {
		c.r.Fail("piggyback with %d fields", n)
		return
	}
	p.Members = c.getMembers()
	for range c.r.Array(maxList) {
		c.r.Fields(2)
		p.Marks = append(p.Marks, member.LeavingMark{Name: c.str(), TTL: c.age()})
	}
	for range c.r.Array(maxList) {
		c.r.Fields(5)
		p.Loads = append(p.Loads, member.ZoneLoad{Zone: ident.Zone(c.str()), Stamp: c.stamp(), Load: c.getLoad()})
	}
	for range c.r.Array(1) {
		c.r.Fields(4)
		p.Teams = append(p.Teams, member.TeamTotals{Stamp: c.stamp(), Teams: c.getTeams()})
	}
}

func (c *codec) stamp() member.Stamp {
	return member.Stamp{Origin: member.ID(c.str()), Number: c.uint(), Age: c.age()}
}

func (c *codec) getMembers() []member.Member {
	var list []member.Member
	for range c.r.Array(maxList) {
		c.r.Fields(6)
		r := member.Member{
			ID:          member.ID(c.str()),
			Zone:        ident.Zone(c.str()),
			Addr:        member.Addr(c.str()),
			Incarnation: ident.Incarnation(c.uint()),
			Epoch:       c.epoch(),
		}
		flags := c.r.Uint(uint64(member.Dead)<<1 | 1)
		r.State, r.Leaving = member.State(flags>>1), flags&1 == 1
		list = append(list, r)
	}
	return list
}

func (c *codec) getLoad() []member.ModelLoad {
	var list []member.ModelLoad
	for range c.r.Array(member.MaxModels) {
		c.r.Fields(3)
		list = append(list, member.ModelLoad{Model: ident.Model(c.str()), FreeTokens: c.r.Int(), QueueDelay: c.age()})
	}
	return list
}

func (c *codec) getTeams() []member.TeamDemand {
	var list []member.TeamDemand
	for range c.r.Array(member.MaxTeams) {
		c.r.Fields(2)
		list = append(list, member.TeamDemand{Team: ident.Team(c.str()), Demand: float64(c.r.Float())})
	}
	return list
}
