package dispatcher

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/node/enginehttp"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// engineSet holds the clients and report readers of the engines that this dispatcher owns or still has
// sessions on. It must only be used on the loop.
type engineSet struct {
	d       *Dispatcher
	engines map[ident.BackendID]*engine
}

// engine is a model engine with its client and the cancel function of its report reader. Its Backend never
// changes.
type engine struct {
	view.Backend
	client *enginehttp.Client
	owned  bool
	stop   context.CancelFunc
}

func newEngineSet(d *Dispatcher) *engineSet {
	return &engineSet{d: d, engines: map[ident.BackendID]*engine{}}
}

func (s *engineSet) client(id ident.BackendID) (*enginehttp.Client, bool) {
	e, ok := s.engines[id]
	if !ok {
		return nil, false
	}
	return e.client, true
}

// refresh recomputes ownership and the list of engines after a change of the configuration, membership or
// leaving marks.
func (l *loop) refresh() {
	snap := l.d.view.Config()
	if snap == nil {
		return
	}
	if l.sched == nil {
		l.sched = sched.New(sched.Config{Issuer: l.d.host(), Incarnation: l.d.view.Incarnation()})
	}
	l.sched.SetPolicy(sched.Policy(snap.Policy.Name), snap.Policy.BatchMemoryShare, snap.Policy.BatchEngineShare)
	groups := owner.Owned(l.d.host(), snap.Groups, l.d.view.Dispatchers())
	var owned []sched.Engine
	for _, b := range snap.Engines {
		if !slices.Contains(groups, b.Group) {
			continue
		}
		owned = append(owned, sched.Engine{
			ID: b.ID, Group: b.Group, Model: b.Model, MemoryTokens: b.MemoryTokens,
			Leaving: l.d.view.BackendLeaving(string(b.ID)),
		})
		l.engines.ensure(b)
	}
	removed := l.engines.updateOwned(owned, snap)
	for _, p := range l.d.view.Processes() {
		if p.Role == settings.RoleDispatcher && !p.Presumed {
			l.step(sched.IssuerSeen{Issuer: p.Host, Incarnation: p.Incarnation})
		}
	}
	l.step(sched.EnginesChanged{Engines: owned})
	for _, id := range removed {
		l.step(sched.EngineGone{Engine: id})
	}
	l.d.orders.setEngines(l.engines.ownedClients())
	l.d.ownedGroups.Store(&groups)
	l.d.log.WithFields(fields{
		"version": snap.Version, "groups": strings.Join(groups, ","), "engines": len(owned),
	}).Debug("ownership computed")
}

// ownedClients returns the clients of the owned engines.
func (s *engineSet) ownedClients() map[ident.BackendID]*enginehttp.Client {
	out := map[ident.BackendID]*enginehttp.Client{}
	for id, e := range s.engines {
		if e.owned {
			out[id] = e.client
		}
	}
	return out
}

// ensure marks an engine as owned and creates its client and report reader if it is new or has changed.
func (s *engineSet) ensure(b view.Backend) {
	old := s.engines[b.ID]
	if old != nil && old.Backend == b {
		old.owned = true
		return
	}
	if old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(s.d.callCtx)
	e := &engine{
		Backend: b,
		client:  enginehttp.New(enginehttp.Config{Peer: string(b.ID), Address: b.Address}),
		owned:   true,
		stop:    cancel,
	}
	s.engines[b.ID] = e
	s.d.calls.Go(func() { s.d.readReports(ctx, e) })
}

// updateOwned sets whether each engine is owned, and removes and returns the engines that are no longer in
// the configuration.
func (s *engineSet) updateOwned(owned []sched.Engine, snap *view.Snapshot) (removed []ident.BackendID) {
	for id, e := range s.engines {
		e.owned = slices.ContainsFunc(owned, func(o sched.Engine) bool { return o.ID == id })
		configured := slices.ContainsFunc(snap.Engines, func(b view.Backend) bool { return b.ID == id })
		if !configured {
			e.stop()
			delete(s.engines, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// prune removes engines that are neither owned nor in use.
func (s *engineSet) prune(st sched.Status) {
	for id, e := range s.engines {
		if e.owned || slices.ContainsFunc(st.Engines, func(x sched.EngineStatus) bool { return x.ID == id && (x.Sessions > 0 || x.OwnTokens > 0) }) {
			continue
		}
		e.stop()
		delete(s.engines, id)
	}
}

func (s *engineSet) close() {
	for _, e := range s.engines {
		e.stop()
	}
}

// reportsPerCacheRead is the number of report reads per read of cache events. Cache events are only hints,
// so they are read less often.
const reportsPerCacheRead = 2

// readReports periodically reads an engine's report and cache events until the context ends.
func (d *Dispatcher) readReports(ctx context.Context, e *engine) {
	period := time.Duration(d.cfg.Settings.Dispatcher.ReportMS) * time.Millisecond
	tick := time.NewTicker(period)
	defer tick.Stop()
	var after uint64
	failing := false
	for n := 0; ; n++ {
		err := d.readReport(ctx, e)
		if err != nil && !failing && ctx.Err() == nil {
			d.log.WithFields(fields{"step": "engine_report", "peer": e.ID, "error": err.Error()}).Warn("engine does not report")
		}
		failing = err != nil
		if err == nil && n%reportsPerCacheRead == 0 {
			after = d.readCacheEvents(ctx, e, after)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *Dispatcher) readReport(ctx context.Context, e *engine) error {
	requested := d.view.Now()
	r, err := e.client.Report(ctx)
	if err != nil {
		return err
	}
	if r.State == leavingState {
		d.view.MarkBackendLeaving(string(e.ID))
	}
	d.pushResult(engineEvent{sched.Report{Engine: e.ID, Requested: requested, Report: r}})
	d.orders.reportReceived(e.ID, requested, r)
	d.reports.put(e.ID, r)
	return nil
}

func (d *Dispatcher) readCacheEvents(ctx context.Context, e *engine, after uint64) uint64 {
	got, err := e.client.CacheEvents(ctx, after)
	if err != nil {
		return after
	}
	for _, ev := range got.Events {
		after = max(after, ev.Number)
		d.pushResult(engineEvent{sched.CacheEvent{Engine: e.ID, Event: ev}})
	}
	return after
}
