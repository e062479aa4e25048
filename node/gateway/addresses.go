package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// Address is one entry host in the response to GET /v1/addresses.
type Address struct {
	URL              string `json:"url"`
	AvailabilityZone string `json:"availability_zone"`
	Rank             int    `json:"rank"` // 1 is best
}

// Addresses is the response to GET /v1/addresses.
type Addresses struct {
	Addresses     []Address     `json:"addresses"`
	KeepMS        int64         `json:"keep_ms"` // how long the caller may cache the response
	Tickets       []string      `json:"tickets"`
	ConfigVersion ident.Version `json:"config_version"`
}

func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if ok, reason := g.view.Ready(); !ok {
		e := outcome.Refuse("addresses", outcome.NotReady, reason)
		e.RetryAfter = time.Second
		g.fail(w, e)
		return
	}
	resp := Addresses{
		Addresses:     g.addresses(ident.Model(r.URL.Query().Get("model"))),
		KeepMS:        g.cfg.Settings.Gateway.KeepMS,
		Tickets:       []string{},
		ConfigVersion: g.configVersion(),
	}
	if err := g.addTickets(&resp, r.URL.Query().Get("tickets")); err != nil {
		g.fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, outcome.Answered.String())
	_ = json.NewEncoder(w).Encode(resp) // an error means that the caller disconnected
}

// addTickets adds the requested number of tickets. It issues none while this process is leaving, because it
// may have exited before they are used.
func (g *Gateway) addTickets(resp *Addresses, count string) *outcome.Error {
	if count == "" || g.view.SelfLeaving() {
		return nil
	}
	n, err := strconv.Atoi(count)
	if err != nil {
		return outcome.Refuse("addresses", outcome.BadRequest, "tickets must be a number from 0 to 16")
	}
	issued, refusal := g.tickets.issue(n)
	if refusal != nil {
		return refusal
	}
	resp.Tickets = append(resp.Tickets, issued...)
	return nil
}

// rankedAddress is an address with its sort keys.
type rankedAddress struct {
	Address
	otherZone bool
	delay     time.Duration
}

// addresses lists the gateways that are live and not leaving: those of this gateway's availability zone first,
// then by the predicted delay of the model in their zone. Ties are in random order to spread the load.
func (g *Gateway) addresses(model ident.Model) []Address {
	var list []rankedAddress
	for _, p := range g.view.Processes() {
		if p.Role != settings.RoleGateway || !p.Usable() || p.Entry.Address == "" {
			continue
		}
		load, _ := g.view.ZoneLoad(p.Zone, model)
		list = append(list, rankedAddress{
			Address:   Address{URL: baseURL(p.Entry.Address), AvailabilityZone: string(p.Zone)},
			otherZone: p.Zone != g.view.Zone(),
			delay:     load.QueueDelay,
		})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b rankedAddress) int {
		if a.otherZone != b.otherZone {
			return map[bool]int{true: 1, false: -1}[a.otherZone]
		}
		return int(a.delay - b.delay)
	})
	if len(list) == 0 && !g.view.SelfLeaving() {
		// The host list does not contain this host yet, but the caller has reached it.
		list = append(list, rankedAddress{Address: Address{
			URL: baseURL(g.cfg.Settings.Gateway.HTTPAddress), AvailabilityZone: string(g.view.Zone())}})
	}
	out := make([]Address, len(list))
	for i, r := range list {
		r.Rank = i + 1
		out[i] = r.Address
	}
	return out
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
