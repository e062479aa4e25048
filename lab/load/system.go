package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// readyTimeout limits the time until all processes of a started system are ready.
const readyTimeout = 20 * time.Second

// System describes a system that runs in this process on loopback, with all stand-ins. Hosts, engine
// groups and service servers are distributed round-robin over the availability zones.
type System struct {
	Region            string   `toml:"region"`
	AvailabilityZones []string `toml:"availability_zones"`
	Hosts             int      `toml:"hosts"`
	EngineGroups      int      `toml:"engine_groups"`
	EnginesPerGroup   int      `toml:"engines_per_group"`
	MemoryTokens      int      `toml:"memory_tokens"`
	PrefillTokensPerS float64  `toml:"prefill_tokens_per_s"`
	DecodeTokensPerS  float64  `toml:"decode_tokens_per_s"`
	ChunkTokens       int      `toml:"chunk_tokens"`
	ReportLagMS       int      `toml:"report_lag_ms"`
	ServiceServers    int      `toml:"service_servers"`
	ServiceChecksKeys bool     `toml:"service_checks_keys"`
	TeamRatePerS      float64  `toml:"team_rate_per_s"`
	TeamTokensPerS    float64  `toml:"team_tokens_per_s"`
}

// StartSystem starts the system of the experiment and sets Targets to its addresses: engines are named
// "group-1-1", service servers "<service>-1", and "platform" and "hostlist" are in Others. log receives
// the log lines of all processes. The caller must close the cluster.
func (e *Experiment) StartSystem(ctx context.Context, log io.Writer) (*cluster.Cluster, error) {
	if len(e.System.AvailabilityZones) == 0 || e.System.Hosts == 0 || e.System.EngineGroups == 0 {
		return nil, Error.New("system: availability_zones, hosts and engine_groups must be set")
	}
	plan, err := cluster.NewPlan(e.spec())
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(plan, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := plan.WaitReady(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	e.Targets = targetsOf(plan)
	return c, nil
}

func (e *Experiment) spec() cluster.Spec {
	s := e.System
	zone := func(i int) string { return s.AvailabilityZones[i%len(s.AvailabilityZones)] }
	spec := cluster.Spec{
		Region: s.Region, Model: e.Model, MaxPromptTokens: e.longestPrompt(),
		Teams: map[ident.Team]config.Team{}, LogLevel: "warn",
	}
	for i := range s.Hosts {
		id := fmt.Sprintf("%s-%d", zone(i), i/len(s.AvailabilityZones)+1)
		spec.Hosts = append(spec.Hosts, cluster.HostSpec{ID: id, Zone: zone(i)})
	}
	for i := range s.EngineGroups {
		spec.Groups = append(spec.Groups, cluster.GroupSpec{
			Name: fmt.Sprintf("group-%d", i+1), Zone: zone(i), Engines: s.EnginesPerGroup,
			Engine: engine.Config{
				MemoryTokens: s.MemoryTokens, PrefillTokensPerS: s.PrefillTokensPerS, DecodeTokensPerS: s.DecodeTokensPerS,
				ChunkTokens: s.ChunkTokens,
				ReportLag:   time.Duration(s.ReportLagMS) * time.Millisecond,
			},
		})
	}
	for i := range s.ServiceServers {
		name := e.Postings.Service
		spec.Services = append(spec.Services, cluster.ServiceSpec{
			ID: fmt.Sprintf("%s-%d", name, i+1), Name: name, Zone: zone(i),
			Service: service.Config{ChecksKeys: s.ServiceChecksKeys},
		})
	}
	for _, t := range e.Teams {
		spec.Teams[ident.Team(t.Name)] = config.Team{RatePerS: s.TeamRatePerS, TokensPerS: s.TeamTokensPerS}
	}
	return spec
}

func targetsOf(plan *cluster.Plan) Targets {
	t := Targets{
		Engines: map[string]string{}, Services: map[string]string{},
		Others: map[string]string{"platform": plan.PlatformAddress, "hostlist": plan.HostListAddress},
	}
	for _, h := range plan.Hosts {
		t.Gateways = append(t.Gateways, plan.GatewayURL(h.ID))
	}
	for _, e := range plan.Engines {
		t.Engines[e.ID] = e.Address
	}
	for _, s := range plan.ServiceServers {
		t.Services[s.ID] = s.Address
	}
	return t
}
