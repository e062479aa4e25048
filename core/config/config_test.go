package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

func patchEntry(number, base uint64, body string) platformapi.Entry {
	return platformapi.Entry{Number: number, Base: base, Kind: platformapi.KindPatch, Body: json.RawMessage(body)}
}

func newFoldFrom(c *qt.C, body string) *Fold {
	f := NewFold()
	vs := f.Apply(0, []platformapi.Entry{{Number: 1, Kind: platformapi.KindSnapshot, Body: json.RawMessage(body)}})
	c.Assert(vs[0].Result, qt.Equals, Accepted, qt.Commentf("%v", vs[0].Problems))
	return f
}

// TestMistakes guards against mistakes that are accepted, reported one at a time, or reported without
// the path, the value and what would be valid.
func TestMistakes(t *testing.T) {
	c := qt.New(t)
	f := newFoldFrom(c, start)
	for _, test := range []struct {
		patch string
		want  []string
	}{
		{`{"models":null}`, []string{`/teams/a/models/0: "m" is not valid; valid: the name of a model: `, `/backend_servers/e/model: "m"`}},
		{`{"models":{"m":{"max_prompt_tokens":101}}}`, []string{`/models/m/max_prompt_tokens: 101 is not valid; valid: at most 100, the memory of engine group g`}},
		{`{"backend_servers":{"e":{"memory_tokens":99}}}`, []string{`/models/m/max_prompt_tokens: 100 is not valid; valid: at most 99`}},
		{`{"teams":{"x/y":{"Rate_per_s":1,"tokens_per_s":"many","priority":1.5,"key_sha256":"AB"}}}`, []string{
			`/teams/x~1y/rate_per_s: is missing; valid: a number from`, `/teams/x~1y/tokens_per_s: "many" is not valid`,
			`/teams/x~1y/priority: 1.5 is not valid; valid: a whole number from 0 to 1000`, `/teams/x~1y/key_sha256: "AB"`,
			`/teams/x~1y/Rate_per_s: 1 is not valid; valid: no such key; known keys: rate_per_s`}},
		{`{"backend_servers":{"s":{"kind":"service","address":"host:1","availability_zone":"","service":"ledger","model":"m"}}}`, []string{
			`/backend_servers/s/address: "host:1" is not valid; valid: an IP address and port`, `/backend_servers/s/availability_zone: ""`,
			`/backend_servers/s/model: "m" is not valid; valid: no such key`}},
		{`{"backend_servers":{"s":{"kind":"service","address":"[::1]:1","availability_zone":"z","service":"ledger"}}}`, []string{`/backend_servers/s/service: "ledger" is not valid; valid: the name of a service: `}},
		{`{"services":{"l":{"idempotent_methods":["get","PUT","PUT"]}},"policy":{"name":"best","batch_memory_share":2}}`, []string{
			`/services/l/idempotent_methods/0: "get"`, `/services/l/idempotent_methods/2: "PUT"`, `/policy/name: "best" is not valid; valid: one of predict, round_robin`, `/policy/batch_memory_share: 2`}},
		{`{"models":{"n":{"version":"1","max_prompt_tokens":1}},"backend_servers":{"f":{"kind":"engine","address":"10.0.0.2:1","availability_zone":"z","group":"g","model":"n","memory_tokens":9}}}`,
			[]string{`/backend_servers/f/model: "n" is not valid; valid: m, the model of the other engines in group g`}},
		{`{"policy":5,"teams":{"":{}},"extra":1}`, []string{`/teams: "" is not valid; valid: non-empty names`, `/teams//rate_per_s: is missing`, `/teams//tokens_per_s`, `/policy: 5 is not valid`, `/extra: 1`}},
		{`{`, []string{`: { is not valid; valid: a JSON object`}},
	} {
		before := f.Digest()
		v := f.Check(platformapi.KindPatch, 1, json.RawMessage(test.patch))
		c.Check(v.Result, qt.Equals, Rejected)
		c.Check(f.Digest(), qt.Equals, before)
		c.Assert(v.Problems, qt.HasLen, len(test.want), qt.Commentf("%s:\n%v", test.patch, v.Problems))
		for i, want := range test.want {
			c.Check(strings.HasPrefix(v.Problems[i].String(), want), qt.IsTrue, qt.Commentf("%s\nwant %s", v.Problems[i], want))
		}
	}
}

// TestLoserOfTwoPatches guards against two operators who publish patches with the same base and both
// assume that their change is in force.
func TestLoserOfTwoPatches(t *testing.T) {
	c := qt.New(t)
	f := newFoldFrom(c, start)
	held := f.Config()
	vs := f.Apply(1, []platformapi.Entry{patchEntry(2, 1, patches[0]), patchEntry(3, 1, patches[1])})
	c.Assert(vs[0].Result, qt.Equals, Accepted)
	c.Assert(vs[1].Result, qt.Equals, Rejected)
	c.Assert(vs[1].Reason, qt.Matches, "base 1 is not the accepted version 2: another change was published first")
	c.Assert(f.Config().Teams["a"].RatePerS, qt.Equals, 2.0)
	c.Assert(held.Teams["a"].RatePerS, qt.Equals, 1.0) // a Config that a reader holds doesn't change
}

// TestHoles guards against applying entries whose predecessors are unknown.
func TestHoles(t *testing.T) {
	c := qt.New(t)
	f := newFoldFrom(c, start)
	hole := []platformapi.Entry{patchEntry(3, 1, patches[0])}
	c.Check(f.Apply(1, hole)[0].Result, qt.Equals, Missing)
	c.Check(f.Apply(2, hole)[0].Result, qt.Equals, Missing)
	later := []platformapi.Entry{{Number: 3, Base: 1, Kind: platformapi.KindSnapshot, Body: json.RawMessage(`{}`)}}
	c.Check(f.Apply(2, later)[0].Result, qt.Equals, Missing)
	c.Check(f.Apply(1, []platformapi.Entry{patchEntry(2, 1, patches[0]), hole[0]})[1].Result, qt.Equals, Rejected)
}

// largeConfig returns a configuration with n teams.
func largeConfig(n int) string {
	var b strings.Builder
	b.WriteString(strings.TrimSuffix(start, "}") + `,"services":{}}`)
	body := strings.Replace(b.String(), `"teams":{`, `"teams":{%s`, 1)
	var teams strings.Builder
	for i := range n {
		fmt.Fprintf(&teams, `"team-%05d":{"rate_per_s":%d,"tokens_per_s":5000,"priority":3,"models":["m"],"key_sha256":"%064x"},`, i, i%50+1, i)
	}
	return fmt.Sprintf(body, teams.String())
}

// largeParts returns the configuration with n teams as a snapshot in parts.
func largeParts(n int) []platformapi.Entry {
	doc := newDocument()
	if ps := doc.patch(json.RawMessage(largeConfig(n)), true); len(ps) > 0 {
		panic(ps)
	}
	var out []platformapi.Entry
	bodies := doc.split()
	for i, b := range bodies {
		out = append(out, platformapi.Entry{Number: 1, Kind: platformapi.KindSnapshot, Part: i + 1, Parts: len(bodies), Body: b})
	}
	return out
}

// TestLargeSnapshotFromPeer guards against a configuration of 18,000 teams that a peer can't serve in
// values within the platform's size limit.
func TestLargeSnapshotFromPeer(t *testing.T) {
	c := qt.New(t)
	f := NewFold()
	f.Apply(0, largeParts(18_000))
	f.Apply(1, []platformapi.Entry{patchEntry(2, 1, `{"teams":{"team-00007":{"rate_per_s":77}}}`)})
	f.log.entries = f.log.entries[len(f.log.entries)-1:] // as after many patches
	served := f.Since(0, 16)
	c.Assert(len(served.Entries) > 2, qt.IsTrue)
	g := NewFold()
	g.Apply(0, served.Entries)
	c.Assert(g.Version(), qt.Equals, f.Version())
	c.Assert(g.Digest(), qt.Equals, f.Digest())
	c.Assert(g.Config().Teams["team-00007"].RatePerS, qt.Equals, 77.0)
}

// BenchmarkFold measures an accepted patch that changes one team, including the build of the new Config,
// and the start from a snapshot.
func BenchmarkFold(b *testing.B) {
	for _, n := range []int{1_000, 5_000, 18_000} {
		parts := largeParts(n)
		b.Run(fmt.Sprintf("patch/teams=%d", n), func(b *testing.B) {
			f := NewFold()
			f.Apply(0, parts)
			for i := 0; b.Loop(); i++ {
				v := f.Apply(f.Cursor(), []platformapi.Entry{patchEntry(f.Cursor()+1, f.Cursor(), fmt.Sprintf(`{"teams":{"team-%05d":{"rate_per_s":%d}}}`, i%n, i+1))})
				if v[0].Result != Accepted || f.Config() == nil {
					b.Fatal(v)
				}
			}
		})
		b.Run(fmt.Sprintf("snapshot/teams=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := NewFold()
				f.Apply(0, parts)
				if f.Config() == nil {
					b.Fatal("not accepted")
				}
			}
		})
	}
}
