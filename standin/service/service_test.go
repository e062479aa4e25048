package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against counts that miss an execution whose response was lost, and against a second execution of
// a repeated key when keys are checked.
func TestExecutionsByKey(t *testing.T) {
	for _, checks := range []bool{false, true} {
		c := qt.New(t)
		s := New(Config{ChecksKeys: checks})
		srv := httptest.NewServer(s)
		defer srv.Close()
		post := func() (string, error) {
			req, err := http.NewRequest(http.MethodPost, srv.URL+"/payments", strings.NewReader("lot=7"))
			c.Assert(err, qt.IsNil)
			req.GetBody = nil
			req.Header.Set("Idempotency-Key", "k")
			req.Close = true
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			return string(b), err
		}
		s.Faults.Set(Faults{ResetAfter: true})
		_, err := post()
		c.Assert(err, qt.IsNotNil)
		s.Faults.Set(Faults{Refuse: true})
		_, err = post()
		c.Assert(err, qt.IsNil)
		s.Faults.Set(Faults{})
		body, err := post()
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, string(Answer("POST", "/payments", []byte("lot=7"))))
		want := map[bool]int{false: 2, true: 1}[checks]
		c.Assert(s.Executions(), qt.DeepEquals, map[string]int{"k": want})
	}
}
