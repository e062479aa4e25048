package entry

import (
	"context"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// eligibility returns a server, and why a request that has not failed there may not use it if that is so. The health of
// the server counts where useHealth is set. The state must be locked.
func (s *state) eligibility(now time.Duration, id ident.BackendID, useHealth bool) (catalog.Server, eligibility.Reason) {
	srv, listing := s.catalog.Status(id)
	return srv, eligibility.Check(s.facts(now, srv, listing, useHealth))
}

// facts collects what is known of a server. The state must be locked.
func (s *state) facts(now time.Duration, srv catalog.Server, listing eligibility.Reason, useHealth bool) eligibility.Facts {
	s.refreshLimitHosts(now)
	noRoom := !s.limits.Allows(now, srv.ID)
	_, cold, _ := s.limits.InForce(now, srv.ID)
	return eligibility.Facts{
		Listing:   listing,
		Paused:    s.pauses.Active(now, srv.ID),
		Limited:   noRoom && !cold,
		Warming:   noRoom && cold,
		Unhealthy: useHealth && s.health.Excluded(now, srv.ID),
	}
}

// eligibleFor returns a condition for the servers that a request may use now. tried holds those where it has failed or runs.
// The state must be locked.
func (s *state) eligibleFor(now time.Duration, useHealth bool, tried func(ident.BackendID) bool) func(ident.BackendID) bool {
	return func(id ident.BackendID) bool {
		if tried(id) {
			return false
		}
		_, why := s.eligibility(now, id, useHealth)
		return why == eligibility.Eligible
	}
}

// beforeSend checks once more a server that was chosen a moment before. Its health and limit do not count: the choice has
// taken them into account. The state must be locked.
func (s *state) beforeSend(now time.Duration, id ident.BackendID) (catalog.Server, eligibility.Reason) {
	srv, listing := s.catalog.Status(id)
	return srv, eligibility.Check(eligibility.Facts{Listing: listing, Paused: s.pauses.Active(now, id)})
}

// checkBeforeSend returns an error unless a server still takes new work, in the lifetime in which it was chosen. After a pause of
// the process it waits until the catalog is up to date.
func (h *Host) checkBeforeSend(ctx context.Context, chosen catalog.Server) error {
	h.awaitCatalog(ctx)
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	current, why := h.state.beforeSend(h.now(), chosen.ID)
	if why == eligibility.Eligible && current.Started != chosen.Started {
		why = eligibility.Replaced
	}
	if why != eligibility.Eligible {
		return ineligibleError{why}
	}
	return nil
}

// checkHelpers returns an error if a helper engine, of which a request to another engine names the address, takes no new work
// any more.
func (h *Host) checkHelpers(helpers []Helper) error {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	for _, x := range helpers {
		if _, why := h.state.catalog.Status(x.id); why != eligibility.Eligible {
			return &reserveError{x.id, ineligibleError{why}}
		}
	}
	return nil
}

// explainPlacement adds to a refusal for want of a server why the servers could not be used.
func (h *Host) explainPlacement(q *request, e *outcome.Error) {
	if e.Step != stepPlace || e.Kind != outcome.NotRun {
		return
	}
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	e.Detail += " (servers: " + h.state.countServers(h.now(), q.service).String() + ")"
}

// refuseEvacuated returns a refusal if a service has no usable server and some are in evacuated zones, else nil. The state must
// be locked.
func (s *state) refuseEvacuated(service string) *outcome.Error {
	if len(s.catalog.Usable(service)) > 0 {
		return nil
	}
	for _, listing := range s.catalog.Listed(service) {
		if listing == eligibility.Evacuated {
			return refusePlacement(outcome.NoBackend, "no server of "+service+" is usable: zones are evacuated")
		}
	}
	return nil
}

// countServers counts the listed servers of a service by eligibility. The state must be locked.
func (s *state) countServers(now time.Duration, service string) (n eligibility.Counts) {
	for srv, listing := range s.catalog.Listed(service) {
		n.Add(eligibility.Check(s.facts(now, srv, listing, true)))
	}
	return n
}
