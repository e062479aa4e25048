package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

func get(c *qt.C, url string) (got platformapi.Entries, status int) {
	resp, err := http.Get(url)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&got)
	return got, resp.StatusCode
}

// Guards against a watch that misses an entry, a stale replica that returns a newer entry, and watches
// that keep waiting during an outage.
func TestWatchAndFaults(t *testing.T) {
	c := qt.New(t)
	s := New(Config{})
	srv := httptest.NewServer(s)
	defer srv.Close()
	publish := func() {
		resp, err := http.Post(srv.URL+"/config/publish", "application/json", strings.NewReader(`{"kind":"patch","base":0,"body":{}}`))
		c.Check(err, qt.IsNil)
		resp.Body.Close()
	}
	time.AfterFunc(20*time.Millisecond, publish)
	got, _ := get(c, srv.URL+"/config/watch?after=0&timeout_ms=5000")
	c.Assert(got.Head, qt.Equals, uint64(1))
	c.Assert(got.Entries, qt.HasLen, 1)

	head := uint64(1)
	s.Faults.Set(Faults{StaleHead: &head})
	publish()
	got, _ = get(c, srv.URL+"/config/entries?after=0")
	c.Assert(got.Entries, qt.HasLen, 1)
	time.AfterFunc(20*time.Millisecond, func() { s.Faults.Set(Faults{Outage: true}) })
	_, status := get(c, srv.URL+"/config/watch?after=1&timeout_ms=5000")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against reads above the read rate that are served or not counted.
func TestReadLimit(t *testing.T) {
	c := qt.New(t)
	s := New(Config{ReadsPerS: 1})
	srv := httptest.NewServer(s)
	defer srv.Close()
	_, first := get(c, srv.URL+"/config/entries")
	_, second := get(c, srv.URL+"/config/entries")
	c.Assert([]int{first, second}, qt.DeepEquals, []int{200, 429})
	c.Assert(s.ReadStats(), qt.Equals, ReadStats{Reads: 1, Refused: 1})
}
