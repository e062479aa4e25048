package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/node/admin"
	"github.com/rosemaryhill/rosemaryhill/standin/platform"
)

// Guards against a publish that reports success although another change was published first, against a
// check whose result differs from the verdict on the log, and against a snapshot over 1 MB that can't be
// published.
func TestConfigPublishCheckStatus(t *testing.T) {
	c := qt.New(t)
	s := platform.New(platform.Config{})
	srv := httptest.NewServer(s)
	defer srv.Close()
	file := func(v any) string {
		name := filepath.Join(t.TempDir(), "body.json")
		body, err := json.Marshal(v)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(name, body, 0o600), qt.IsNil)
		return name
	}
	rosectl := func(code int, args ...string) string {
		var out bytes.Buffer
		c.Assert(run(context.Background(), append(args, "--platform", srv.URL), &out), qt.Equals, code, qt.Commentf("%v: %s", args, out.String()))
		return out.String()
	}
	type object map[string]any
	team := object{"rate_per_s": 1, "tokens_per_s": 1}
	teams := object{}
	for i := range 4_000 {
		teams[fmt.Sprintf("team-%0300d", i)] = team
	}
	whole := file(object{"teams": teams})
	rosectl(exitOK, "config", "publish", "--snapshot", "--base", "0", "--file", whole)
	c.Assert(s.ReadStats().Reads > 0, qt.IsTrue)
	c.Assert(rosectl(exitOK, "config", "status"), qt.Contains, "teams=4000")

	patch := file(object{"teams": object{"x": team}})
	c.Assert(rosectl(exitCheck, "config", "check", "--base", "0", "--file", patch), qt.Equals, "")
	rosectl(exitCheck, "config", "publish", "--base", "0", "--file", patch)
	c.Assert(rosectl(exitCheck, "config", "publish", "--unchecked", "--base", "0", "--file", patch), qt.Contains, "result=rejected")
	bad := file(object{"teams": object{"x": object{"rate": 1}}})
	rosectl(exitCheck, "config", "check", "--base", "2", "--file", bad)
	rosectl(exitOK, "config", "publish", "--base", "2", "--file", patch)
	c.Assert(rosectl(exitOK, "config", "status"), qt.Contains, "accepted_version=4")
	rosectl(exitUsage, "config", "publish", "--base", "4")

	// A process that holds an older version fails the status check.
	var held admin.ActiveConfig
	process := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Header.Get("Authorization"), qt.Equals, "Bearer secret")
		json.NewEncoder(w).Encode(held)
	}))
	defer process.Close()
	token := filepath.Join(t.TempDir(), "token")
	c.Assert(os.WriteFile(token, []byte("secret\n"), 0o600), qt.IsNil)
	status := []string{"config", "status", "--token_file", token, "--admin", process.Listener.Addr().String()}
	held.Version = 3
	rosectl(exitCheck, status...)
	fold, err := readFold(context.Background(), srv.URL, func(config.Verdict) {})
	c.Assert(err, qt.IsNil)
	held.Version, held.Digest = fold.Version(), fold.Digest().String()
	c.Assert(rosectl(exitOK, status...), qt.Contains, "current=true")
}
