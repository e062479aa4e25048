package daemon

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

const gatewaySettings = `
host_id = "leuven-1"
region = "be-central"
availability_zone = "leuven"
[gateway]
http_address = "127.0.0.1:8080"
control_address = "127.0.0.1:8081"
gossip_address = "127.0.0.1:8082"
admin_address = "127.0.0.1:8083"
[platform]
config_url = "http://127.0.0.1:7000"
hosts_url = "http://127.0.0.1:7001"
[admin]
token = "0123456789abcdef"
`

// Guards against changes of the exit codes and messages that operators' scripts depend on, and against a
// check that accepts settings with mistakes.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "rh.toml")
	c.Assert(os.WriteFile(file, []byte(gatewaySettings), 0o600), qt.IsNil)
	for _, test := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"check", "--settings", file, "--role", "gateway"}, ExitOK, "valid for gateway"},
		{[]string{"check", "--settings", file}, ExitSettings, "dispatcher.link_address is missing"},
		{[]string{"check", "--settings", file, "--role", "ledger"}, ExitUsage, "valid: gateway, dispatcher, entry, both"},
		{[]string{"check", "--settings", file + ".none"}, ExitSettings, "no such file"},
		{[]string{"dispatcher", "--settings", file}, ExitSettings, "dispatcher.link_address is missing"},
		{[]string{"gateway"}, ExitUsage, "--settings FILE"},
		{nil, ExitUsage, "subcommand is missing"},
	} {
		var out bytes.Buffer
		c.Assert(Main(context.Background(), test.args, &out, &out), qt.Equals, test.code, qt.Commentf("%v: %s", test.args, &out))
		c.Assert(out.String(), qt.Contains, test.output)
	}
}
