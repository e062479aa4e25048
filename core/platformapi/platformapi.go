// Package platformapi defines the JSON messages of the platform's configuration service and host list.
// The wire format is an assumption until it is published; only this package, the HTTP client and the
// stand-ins depend on it.
package platformapi

import "encoding/json"

// Kinds of configuration entry.
const (
	KindSnapshot = "snapshot"
	KindPatch    = "patch" // JSON merge patch, RFC 7386
)

// Entry is one numbered change of the configuration, as published.
type Entry struct {
	Number uint64          `json:"number"`
	Kind   string          `json:"kind"`
	Base   uint64          `json:"base"`            // version that the change was made against
	Part   int             `json:"part,omitempty"`  // number of the part from 1, for a snapshot in several values
	Parts  int             `json:"parts,omitempty"` // number of parts; 0 or 1 for a snapshot in one value
	Body   json.RawMessage `json:"body"`
}

// Entries is the response to GET /config/entries and GET /config/watch.
type Entries struct {
	Head    uint64  `json:"head"` // number of the newest entry that this replica holds
	Entries []Entry `json:"entries"`
}

// Host states.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	ID               string `json:"id"`
	Kind             string `json:"kind"` // "entry" or "backend"
	Address          string `json:"address"`
	ControlAddress   string `json:"control_address,omitempty"`
	GossipAddress    string `json:"gossip_address,omitempty"`
	LinkAddress      string `json:"link_address,omitempty"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	State            string `json:"state"`
}

// Hosts is the response to GET /hosts.
type Hosts struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}
