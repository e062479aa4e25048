package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// Guards against accepting a request with values that no engine can serve, and against a wrong default class.
func TestParseGenerate(t *testing.T) {
	c := qt.New(t)
	snap := &view.Snapshot{Config: &config.Config{Models: map[ident.Model]config.Model{"m": {MaxPromptTokens: 200_000}}}}
	body := func(bytes, output int, class string) string {
		return fmt.Sprintf(`{"model":"m","prompt":%q,"max_output_tokens":%d,"class":%q}`, strings.Repeat("x", bytes), output, class)
	}
	for _, test := range []struct {
		body   string
		reason outcome.Reason
		class  ident.Class
	}{
		{body(1, 1, ""), "", ident.Interactive},
		{body(4*8192, 1, ""), "", ident.Interactive},
		{body(4*8192+1, 1, ""), "", ident.Standard},
		{body(4*100_001, 1, ""), "", ident.Batch},
		{body(1, 1, "batch"), "", ident.Batch},
		{body(4*200_000+1, 1, ""), outcome.TooLarge, 0},
		{body(0, 1, ""), outcome.BadRequest, 0},
		{body(1, 0, ""), outcome.BadRequest, 0},
		{body(1, 1, "urgent"), outcome.BadRequest, 0},
		{`{"model":"other","prompt":"x","max_output_tokens":1}`, outcome.UnknownModel, 0},
		{`{"model":"m","prompt":"x","max_output_tokens":1,"stream":true}`, outcome.BadRequest, 0},
		{`{`, outcome.BadRequest, 0},
	} {
		gen, err := parseGenerate([]byte(test.body), snap)
		if test.reason != "" {
			c.Assert(err != nil, qt.IsTrue, qt.Commentf("%.80s", test.body))
			c.Assert(err.Reason, qt.Equals, test.reason, qt.Commentf("%.80s", test.body))
			c.Assert(err.Kind, qt.Equals, outcome.NotRun)
			continue
		}
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%.80s", test.body))
		c.Assert(gen.class, qt.Equals, test.class)
	}
}

// Guards against changing the escaping or the query of a path before it reaches the service.
func TestServicePath(t *testing.T) {
	c := qt.New(t)
	for in, want := range map[string]string{
		"/v1/services/ledger/lots/17?grade=W240&x=%2F": "/lots/17?grade=W240&x=%2F",
		"/v1/services/ledger/a%2Fb":                    "/a%2Fb",
		"/v1/services/ledger/":                         "/",
	} {
		c.Assert(servicePath(httptest.NewRequest("GET", in, nil)), qt.Equals, want)
	}
}

// Guards against a timeout above the maximum and against silently ignoring an invalid header.
func TestParseTimeout(t *testing.T) {
	c := qt.New(t)
	for header, want := range map[string]time.Duration{"": time.Minute, "250": 250 * time.Millisecond, "99999999999999": MaxTimeout, "0": 0, "2s": 0} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set(TimeoutHeader, header)
		got, err := parseTimeout(r, time.Minute)
		c.Assert(got, qt.Equals, want, qt.Commentf("%q", header))
		c.Assert(err == nil, qt.Equals, want > 0)
	}
}

// Guards against admitting a request of a team that has a key without that key.
func TestAuthenticate(t *testing.T) {
	c := qt.New(t)
	// SHA-256 of "secret".
	const digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	snap := &view.Snapshot{Config: &config.Config{Teams: map[ident.Team]config.Team{"open": {}, "closed": {KeySHA256: digest}}}}
	for _, test := range []struct {
		team, authorization string
		ok                  bool
	}{
		{"open", "", true}, {"closed", "Bearer secret", true},
		{"closed", "", false}, {"closed", "Bearer wrong", false}, {"closed", "secret", false}, {"nobody", "", false}, {"", "", false},
	} {
		h := http.Header{}
		h.Set(TeamHeader, test.team)
		h.Set("Authorization", test.authorization)
		_, _, err := authenticate(snap, h)
		c.Assert(err == nil, qt.Equals, test.ok, qt.Commentf("%+v", test))
		if err != nil {
			c.Assert(outcome.Status(err.Kind, err.Reason), qt.Equals, http.StatusUnauthorized)
		}
	}
}
