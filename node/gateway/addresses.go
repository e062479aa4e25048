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

// Address is one entry host in the answer to GET /v1/addresses.
type Address struct {
	URL              string `json:"url"`
	AvailabilityZone string `json:"availability_zone"`
	Rank             int    `json:"rank"` // 1 is best
}

// Addresses is the answer to GET /v1/addresses.
type Addresses struct {
	Addresses     []Address     `json:"addresses"`
	KeepMS        int64         `json:"keep_ms"` // how long the caller may keep the answer
	Tickets       []string      `json:"tickets"`
	ConfigVersion ident.Version `json:"config_version"`
}

func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if ok, why := g.view.Ready(); !ok {
		e := outcome.Refuse("addresses", outcome.NotReady, why)
		e.RetryAfter = time.Second
		g.fail(w, e)
		return
	}
	answer := Addresses{
		Addresses:     g.addresses(ident.Model(r.URL.Query().Get("model"))),
		KeepMS:        g.cfg.Settings.Gateway.KeepMS,
		Tickets:       []string{},
		ConfigVersion: g.version(),
	}
	if err := g.addTickets(&answer, r.URL.Query().Get("tickets")); err != nil {
		g.fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, outcome.Answered.String())
	_ = json.NewEncoder(w).Encode(answer) // a lost connection needs no handling
}

// addTickets issues tickets, but none while this process is leaving: it may be gone before they are
// used.
func (g *Gateway) addTickets(answer *Addresses, count string) *outcome.Error {
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
	answer.Tickets = append(answer.Tickets, issued...)
	return nil
}

// ranked is an address with what decides its rank.
type ranked struct {
	Address
	far   bool
	delay time.Duration
}

// addresses lists the gateways that are live and not leaving: the own availability zone first, then
// by the predicted delay of the model in their zone. Equal ones come in random order, so that callers
// spread.
func (g *Gateway) addresses(model ident.Model) []Address {
	var list []ranked
	for _, p := range g.view.Processes() {
		if p.Role != settings.RoleGateway || !p.Usable() || p.Entry.Address == "" {
			continue
		}
		load, _ := g.view.ZoneLoad(p.Zone, model)
		list = append(list, ranked{
			Address: Address{URL: baseURL(p.Entry.Address), AvailabilityZone: string(p.Zone)},
			far:     p.Zone != g.view.Zone(),
			delay:   load.QueueDelay,
		})
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b ranked) int {
		if a.far != b.far {
			return map[bool]int{true: 1, false: -1}[a.far]
		}
		return int(a.delay - b.delay)
	})
	if len(list) == 0 && !g.view.SelfLeaving() {
		// The host list does not name this host yet, but the caller reached it.
		list = append(list, ranked{Address: Address{
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
