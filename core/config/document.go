package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Keys of the top-level objects.
const (
	sectionModels   = "models"
	sectionTeams    = "teams"
	sectionServers  = "backend_servers"
	sectionServices = "services"
	sectionPolicy   = "policy"
)

var sectionNames = []string{sectionModels, sectionTeams, sectionServers, sectionServices, sectionPolicy}

// document is a configuration that patches modify in place.
type document struct {
	models   *section[Model]
	teams    *section[Team]
	servers  *section[BackendServer]
	services *section[Service]
	policy   *section[Policy] // one member with an empty key
	digest   Digest
	built    *Config // last result of config
}

func newDocument() *document {
	return &document{
		models:   newSection(sectionModels, decodeModel),
		teams:    newSection(sectionTeams, decodeTeam),
		servers:  newSection(sectionServers, decodeServer),
		services: newSection(sectionServices, decodeService),
		policy:   newSection(sectionPolicy, decodePolicy),
	}
}

// delta holds the staged changes of one patch.
type delta struct {
	models   []change[Model]
	teams    []change[Team]
	servers  []change[BackendServer]
	services []change[Service]
	policy   []change[Policy]
}

// patch applies a merge patch and validates the result. If there are mistakes or commit is false, it
// leaves the document unchanged.
func (d *document) patch(body json.RawMessage, commit bool) Problems {
	var ps Problems
	x := d.stage(body, &ps)
	if len(ps) > 0 {
		return ps
	}
	d.apply(x)
	d.check(x, &ps)
	if len(ps) > 0 || !commit {
		d.undo(x)
	}
	return ps
}

func (d *document) stage(body json.RawMessage, ps *Problems) (x delta) {
	if !json.Valid(body) {
		ps.add("", string(body), "a JSON object")
		return x
	}
	o, ok := readObject("", body, ps)
	if !ok {
		return x
	}
	for _, name := range sectionNames {
		raw, ok := o.take(name)
		if !ok {
			continue
		}
		switch name {
		case sectionModels:
			x.models = d.models.stage(raw, ps)
		case sectionTeams:
			x.teams = d.teams.stage(raw, ps)
		case sectionServers:
			x.servers = d.servers.stage(raw, ps)
		case sectionServices:
			x.services = d.services.stage(raw, ps)
		case sectionPolicy:
			x.policy = d.stagePolicy(raw, ps)
		}
	}
	o.reportUnknownKeys()
	return x
}

// stagePolicy stages changes of the policy, which is a single object instead of a set of named ones.
func (d *document) stagePolicy(raw json.RawMessage, ps *Problems) []change[Policy] {
	if isNull(raw) {
		return d.policy.stageRemoval()
	}
	c := d.policy.newChange("")
	c.after, c.existsAfter = d.policy.merge(pointer("", sectionPolicy), c, raw, ps)
	return []change[Policy]{c}
}

func (d *document) apply(x delta) {
	d.models.apply(x.models, &d.digest)
	d.teams.apply(x.teams, &d.digest)
	d.servers.apply(x.servers, &d.digest)
	d.services.apply(x.services, &d.digest)
	d.policy.apply(x.policy, &d.digest)
}

func (d *document) undo(x delta) {
	d.models.undo(x.models, &d.digest)
	d.teams.undo(x.teams, &d.digest)
	d.servers.undo(x.servers, &d.digest)
	d.services.undo(x.services, &d.digest)
	d.policy.undo(x.policy, &d.digest)
}

// config returns the document as a Config. Unchanged sections share their maps with the previously
// built Config.
func (d *document) config(v ident.Version) *Config {
	if d.built != nil && d.built.Version == v {
		return d.built
	}
	c := &Config{Version: v, Digest: d.digest, Policy: d.policy.members[""]}
	old := d.built
	if old == nil {
		old = c
	}
	c.Models = mapOf(d.models, old.Models)
	c.Teams = mapOf(d.teams, old.Teams)
	c.BackendServers = mapOf(d.servers, old.BackendServers)
	c.Services = mapOf(d.services, old.Services)
	d.built = c
	return c
}

func mapOf[K ~string, V any](s *section[V], old map[K]V) map[K]V {
	if !s.dirty && old != nil {
		return old
	}
	s.dirty = false
	out := make(map[K]V, len(s.members))
	for k, v := range s.members {
		out[K(k)] = v
	}
	return out
}

// Parse parses a complete configuration body and returns either the configuration or all its mistakes.
func Parse(body []byte) (*Config, Problems) {
	d := newDocument()
	if ps := d.patch(body, true); len(ps) > 0 {
		return nil, ps
	}
	return d.config(0), nil
}

// check adds the mistakes in references between members. Members that a patch doesn't name stay valid
// unless it changes what they refer to.
func (d *document) check(x delta, ps *Problems) {
	if len(x.models) > 0 {
		d.checkTeams(slices.Sorted(maps.Keys(d.teams.members)), ps)
	} else {
		keys := make([]string, 0, len(x.teams))
		for _, c := range x.teams {
			keys = append(keys, c.key)
		}
		d.checkTeams(keys, ps)
	}
	if len(x.models)+len(x.servers)+len(x.services) > 0 {
		d.checkServers(ps)
		d.checkGroups(ps)
	}
}

func (d *document) checkTeams(keys []string, ps *Problems) {
	for _, key := range keys {
		for i, m := range d.teams.members[key].Models {
			if _, ok := d.models.members[string(m)]; !ok {
				path := fmt.Sprintf("%s/models/%d", pointer("/"+sectionTeams, key), i)
				ps.add(path, quote(string(m)), d.modelNames())
			}
		}
	}
}

func (d *document) modelNames() string {
	return "the name of a model: " + strings.Join(slices.Sorted(maps.Keys(d.models.members)), ", ")
}

func (d *document) checkServers(ps *Problems) {
	for _, key := range slices.Sorted(maps.Keys(d.servers.members)) {
		s := d.servers.members[key]
		path := pointer("/"+sectionServers, key)
		if _, ok := d.models.members[string(s.Model)]; s.Kind == KindEngine && !ok {
			ps.add(path+"/model", quote(string(s.Model)), d.modelNames())
		}
		if _, ok := d.services.members[s.Service]; s.Kind == KindService && !ok {
			names := strings.Join(slices.Sorted(maps.Keys(d.services.members)), ", ")
			ps.add(path+"/service", quote(s.Service), "the name of a service: "+names)
		}
	}
}

// checkGroups checks that all engines of a group serve one model and that their memory together holds
// its longest prompt. A smaller group would accept prompts for which its engines can never reserve
// enough memory.
func (d *document) checkGroups(ps *Problems) {
	type group struct {
		model  string
		memory int
	}
	groups := make(map[string]group)
	for _, key := range slices.Sorted(maps.Keys(d.servers.members)) {
		s := d.servers.members[key]
		if s.Kind != KindEngine {
			continue
		}
		g, ok := groups[s.Group]
		if ok && g.model != string(s.Model) {
			ps.add(pointer("/"+sectionServers, key)+"/model", quote(string(s.Model)),
				fmt.Sprintf("%s, the model of the other engines in group %s", g.model, s.Group))
			continue
		}
		groups[s.Group] = group{model: string(s.Model), memory: g.memory + s.MemoryTokens}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		m, ok := d.models.members[g.model]
		if ok && g.memory < m.MaxPromptTokens {
			ps.add(pointer("/"+sectionModels, g.model)+"/max_prompt_tokens", fmt.Sprint(m.MaxPromptTokens),
				fmt.Sprintf("at most %d, the memory of engine group %s", g.memory, name))
		}
	}
}
