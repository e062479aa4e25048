package weights

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a store without a rate limit, which would hide the load of many engines reloading at
// once, and against different bytes for the same version.
func TestLimitAndSameBytes(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(New(Config{Bytes: 100_000, RequestsPerS: 2}))
	defer srv.Close()
	get := func() (int, []byte) {
		resp, err := http.Get(srv.URL + "/weights/m/v1")
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return resp.StatusCode, b
	}
	_, first := get()
	_, second := get()
	c.Assert(len(first), qt.Equals, 100_000)
	c.Assert(bytes.Equal(first, second), qt.IsTrue)
	status, _ := get()
	c.Assert(status, qt.Equals, http.StatusTooManyRequests)
}
