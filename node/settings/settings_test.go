package settings

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validFile = `
host_id = "leuven-1"
region = "be-central"
availability_zone = "leuven"
[gateway]
http_address = "127.0.0.1:8080"
control_address = "127.0.0.1:8081"
gossip_address = "127.0.0.1:8082"
admin_address = "[::1]:8083"
[platform]
config_url = "http://127.0.0.1:7000"
hosts_url = "http://127.0.0.1:7001"
reads_per_s = 3
[admin]
token = "0123456789abcdef"
`

// Guards against a default that overrides a value from the file, and against rejecting a valid file.
func TestParseKeepsValuesAndDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse("a.toml", validFile, RoleGateway)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Platform.ReadsPerS, qt.Equals, 3.0)
	c.Assert(s.Gateway.KeepMS, qt.Equals, int64(30_000))
	c.Assert(s.Gateway.AdminAddress, qt.Equals, "[::1]:8083")
}

// Guards against a check that stops at the first mistake, accepts unknown keys or host names, or includes
// the token in its error.
func TestParseReportsEveryMistake(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("a.toml", `
host_id = "a.b"
region = 7
[gateway]
http_address = "localhost:80"
keep_ms = "30s"
color = "red"
max_descriptors = 299
memory_mb = -1
[platform]
config_url = "http://config.internal:7000"
[admin]
token = "short"
[trace]
exporter = "jaeger"
sample_ratio = 2
[log]
level = 3
`, RoleGateway)
	var ms Mistakes
	c.Assert(errors.As(err, &ms), qt.IsTrue)
	var keys []string
	for _, m := range ms {
		keys = append(keys, m.Key)
	}
	c.Assert(keys, qt.DeepEquals, []string{
		"admin.token", "availability_zone", "gateway.admin_address", "gateway.color",
		"gateway.control_address", "gateway.gossip_address", "gateway.http_address", "gateway.keep_ms", "gateway.max_descriptors", "gateway.memory_mb",
		"host_id", "log.level", "platform.config_url", "platform.hosts_url", "region",
		"trace.exporter", "trace.sample_ratio",
	})
	c.Assert(err.Error(), qt.Contains, `a.toml: gateway.http_address = "localhost:80"; valid: an IP number`)
	c.Assert(err.Error(), qt.Not(qt.Contains), "short")
}

// Guards against accepting a file for the dispatcher role that has only the gateway table.
func TestParseChecksTheRolesTable(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("a.toml", validFile, RoleGateway, RoleDispatcher)
	c.Assert(err, qt.ErrorMatches, `(?s)a.toml: dispatcher.admin_address is missing.*dispatcher.link_address is missing.*`)
}

// Guards against defaults with which a restart of all processes at full size would exceed the limit of
// 2,000 reads/s of the configuration service. Each process may send one read immediately and then
// ReadsPerS.
func TestDefaultReadsFitBudget(t *testing.T) {
	c := qt.New(t)
	const processes, budgetPerS = 2 * 340, 2_000
	c.Assert(processes*(1+Default().Platform.ReadsPerS) <= budgetPerS, qt.IsTrue)
}
