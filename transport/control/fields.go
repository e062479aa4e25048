package control

import (
	"encoding/json"
	"math"

	"github.com/klauspost/compress/s2"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of fields.
const (
	maxString  = 8 << 10 // bytes; the longest string is a path with its query
	maxBody    = 1 << 20 // bytes of a forwarded request or response body
	maxEntry   = 1 << 20 // bytes of one configuration entry
	maxEntries = 4096
	maxHosts   = 8192 // twice the design size of 340 entry hosts and 3,700 backend servers
	maxModels  = 256
	maxState   = 6 << 20 // bytes of an encoded state: a configuration of up to 1 MB and 4,096 servers
)

func encodeBody(w *pack.Writer, v any) {
	switch v := v.(type) {
	case *ForwardTicketRequest:
		w.Array(9)
		putStrings(w, v.Ticket, string(v.Team), v.Service, v.Method, v.Path, v.ContentType, v.TraceParent)
		w.Bytes(v.Body)
		w.Int(v.RemainingMS)
	case *ForwardTicketReply:
		w.Array(9)
		w.Uint(uint64(v.Outcome))
		w.Int(int64(v.Status))
		w.Bytes(v.Body)
		w.Int(v.RetryAfterMS)
		putStrings(w, v.ContentType, v.Reason, v.Step, v.Peer, v.Detail)
	case *ConfigSinceRequest:
		w.Array(2)
		w.Uint(uint64(v.After))
		w.Int(int64(v.Limit))
	case *ConfigSinceReply:
		encodeConfig(w, v)
	case *HostsReply:
		encodeHosts(w, v)
	case *StateRequest:
		w.Array(2)
		w.Uint(uint64(v.Revision))
		w.Uint(uint64(v.Config))
	case *StateReply:
		encodeState(w, v)
	case *StatusReply:
		encodeStatus(w, v)
	default: // HostsRequest, StatusRequest, and the body that net/rpc gives for an error
		w.Array(0)
	}
}

func decodeBody(r *pack.Reader, v any) {
	switch v := v.(type) {
	case *ForwardTicketRequest:
		r.Fields(9)
		getStrings(r, &v.Ticket, (*string)(&v.Team), &v.Service, &v.Method, &v.Path, &v.ContentType, &v.TraceParent)
		v.Body = r.Bytes(maxBody)
		v.RemainingMS = r.Int()
	case *ForwardTicketReply:
		r.Fields(9)
		v.Outcome = uint8(r.Uint(math.MaxUint8))
		v.Status = int(r.Int())
		v.Body = r.Bytes(maxBody)
		v.RetryAfterMS = r.Int()
		getStrings(r, &v.ContentType, &v.Reason, &v.Step, &v.Peer, &v.Detail)
	case *ConfigSinceRequest:
		r.Fields(2)
		v.After = ident.Version(r.Uint(math.MaxUint64))
		v.Limit = int(r.Int())
	case *ConfigSinceReply:
		decodeConfig(r, v)
	case *HostsReply:
		decodeHosts(r, v)
	case *StateRequest:
		r.Fields(2)
		v.Revision = ident.Revision(r.Uint(math.MaxUint64))
		v.Config = ident.Version(r.Uint(math.MaxUint64))
	case *StateReply:
		decodeState(r, v)
	case *StatusReply:
		decodeStatus(r, v)
	default:
		r.Fields(0)
	}
}

func putStrings(w *pack.Writer, fields ...string) {
	for _, f := range fields {
		w.Str(f)
	}
}

func getStrings(r *pack.Reader, fields ...*string) {
	for _, f := range fields {
		*f = r.Str(maxString)
	}
}

func encodeConfig(w *pack.Writer, v *ConfigSinceReply) {
	w.Array(4)
	w.Uint(uint64(v.Version))
	w.FixedUint64(v.Digest)
	w.Bool(v.More)
	w.Array(len(v.Entries))
	for _, e := range v.Entries {
		w.Array(6)
		w.Uint(e.Number)
		w.Str(e.Kind)
		w.Uint(e.Base)
		w.Int(int64(e.Part))
		w.Int(int64(e.Parts))
		w.Bytes(e.Body)
	}
}

func decodeConfig(r *pack.Reader, v *ConfigSinceReply) {
	r.Fields(4)
	v.Version = ident.Version(r.Uint(math.MaxUint64))
	v.Digest = r.Uint(math.MaxUint64)
	v.More = r.Bool()
	for range r.Array(maxEntries) {
		r.Fields(6)
		v.Entries = append(v.Entries, platformapi.Entry{
			Number: r.Uint(math.MaxUint64),
			Kind:   r.Str(maxString),
			Base:   r.Uint(math.MaxUint64),
			Part:   int(r.Int()),
			Parts:  int(r.Int()),
			Body:   json.RawMessage(r.Bytes(maxEntry)),
		})
	}
}

func encodeHosts(w *pack.Writer, v *HostsReply) {
	w.Array(2)
	w.Uint(v.Hosts.Version)
	w.Array(len(v.Hosts.Hosts))
	for _, h := range v.Hosts.Hosts {
		w.Array(9)
		putStrings(w, h.ID, h.Kind, h.Address, h.ControlAddress, h.GossipAddress, h.LinkAddress, h.AvailabilityZone, h.Region, h.State)
	}
}

func decodeHosts(r *pack.Reader, v *HostsReply) {
	r.Fields(2)
	v.Hosts.Version = r.Uint(math.MaxUint64)
	for range r.Array(maxHosts) {
		var h platformapi.Host
		r.Fields(9)
		getStrings(r, &h.ID, &h.Kind, &h.Address, &h.ControlAddress, &h.GossipAddress, &h.LinkAddress, &h.AvailabilityZone, &h.Region, &h.State)
		v.Hosts.Hosts = append(v.Hosts.Hosts, h)
	}
}

// encodedState holds the state and the changes of a StateReply, each as a compressed msgpack value, or empty if absent.
type encodedState struct{ state, changes []byte }

// Encode prepares the reply for sending. It must be called once, after the last change of the reply; sending it to several
// callers then costs one encoding.
func (v *StateReply) Encode() (err error) {
	if v.State != nil {
		if v.encoded.state, err = compress(v.State); err != nil {
			return err
		}
	}
	if len(v.Changes) > 0 {
		v.encoded.changes, err = compress(v.Changes)
	}
	return err
}

// compress returns the compressed encoding of a value. The routes of a configuration are much alike, and a host with a slow
// network link has to send them to all others of its availability zone.
func compress(v any) ([]byte, error) {
	plain, err := msgpack.Marshal(v)
	if err != nil {
		return nil, ErrMessage.Wrap(err)
	}
	return s2.Encode(nil, plain), nil
}

// encodeState writes the state and the changes as nested values.
func encodeState(w *pack.Writer, v *StateReply) {
	w.Array(3)
	w.Bytes(v.encoded.state)
	w.Bytes(v.encoded.changes)
	w.Uint(uint64(v.Revision))
}

func decodeState(r *pack.Reader, v *StateReply) {
	r.Fields(3)
	state, changes := r.Bytes(maxState), r.Bytes(maxState)
	v.Revision = ident.Revision(r.Uint(math.MaxUint64))
	if len(state) > 0 {
		v.State = new(catalog.Snapshot)
		if err := decompress(state, v.State); err != nil {
			r.Fail("state: %v", err)
		}
	}
	if len(changes) > 0 {
		if err := decompress(changes, &v.Changes); err != nil {
			r.Fail("changes: %v", err)
		}
	}
}

// decompress decodes a value encoded by compress. It refuses one that takes more than maxState bytes of memory.
func decompress(b []byte, v any) error {
	if n, err := s2.DecodedLen(b); err != nil || n > maxState {
		return ErrTooLarge.New("%d bytes, at most %d: %v", n, maxState, err)
	}
	plain, err := s2.Decode(nil, b)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(plain, v)
}

func encodeStatus(w *pack.Writer, v *StatusReply) {
	w.Array(10)
	putStrings(w, string(v.Host), v.Role, v.NotReady)
	w.FixedUint64(uint64(v.Incarnation))
	w.Uint(uint64(v.Version))
	w.FixedUint64(v.Digest)
	w.Uint(v.HostsVersion)
	w.Bool(v.Ready)
	w.Bool(v.Leaving)
	w.Array(len(v.Load))
	for _, l := range v.Load {
		w.Array(4)
		w.Str(string(l.Model))
		w.Int(l.FreeTokens)
		w.Int(l.QueueDelayMS)
		w.Int(l.QueuedPrefill)
	}
}

func decodeStatus(r *pack.Reader, v *StatusReply) {
	r.Fields(10)
	getStrings(r, (*string)(&v.Host), &v.Role, &v.NotReady)
	v.Incarnation = ident.Incarnation(r.Uint(math.MaxUint64))
	v.Version = ident.Version(r.Uint(math.MaxUint64))
	v.Digest = r.Uint(math.MaxUint64)
	v.HostsVersion = r.Uint(math.MaxUint64)
	v.Ready = r.Bool()
	v.Leaving = r.Bool()
	for range r.Array(maxModels) {
		r.Fields(4)
		v.Load = append(v.Load, ModelLoad{
			Model:         ident.Model(r.Str(maxString)),
			FreeTokens:    r.Int(),
			QueueDelayMS:  r.Int(),
			QueuedPrefill: r.Int(),
		})
	}
}
