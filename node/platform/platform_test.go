package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// Guards against entries that are lost or repeated between pages, watches and refused reads.
func TestFollowDeliversEachEntryOnce(t *testing.T) {
	c := qt.New(t)
	const head = 20
	var reads atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reads.Add(1)%2 == 0 {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		e := platformapi.Entries{Head: head}
		for n := after + 1; n <= min(after+8, head); n++ {
			e.Entries = append(e.Entries, platformapi.Entry{Number: n, Body: json.RawMessage("{}")})
		}
		json.NewEncoder(w).Encode(e)
	}))
	defer srv.Close()
	client := New(Config{ConfigAddress: srv.URL, ReadsPerS: 1000, Burst: 100, BackoffMin: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	last, refused := uint64(0), 0
	client.Follow(ctx, 0, func(u Update) {
		if u.Err != nil {
			refused++
			c.Check(outcome.From(u.Err, "", "").Reason, qt.Equals, outcome.Overload)
		}
		for _, e := range u.Entries.Entries {
			c.Check(e.Number, qt.Equals, last+1)
			last = e.Number
		}
		if last == head {
			cancel()
		}
	})
	c.Assert(last, qt.Equals, uint64(head))
	c.Assert(refused > 0, qt.IsTrue)
}

// Guards against returning a snapshot that is split between pages, which config.Fold never accepts.
func TestSnapshotPartsStayTogether(t *testing.T) {
	c := qt.New(t)
	parts := []platformapi.Entry{{Number: 1, Kind: platformapi.KindPatch, Body: json.RawMessage("{}")}}
	for n := 1; n <= 5; n++ {
		parts = append(parts, platformapi.Entry{Number: uint64(n + 1), Kind: platformapi.KindSnapshot, Part: n, Parts: 5, Body: json.RawMessage("{}")})
	}
	published := 6
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.FormValue("after"))
		json.NewEncoder(w).Encode(platformapi.Entries{Head: uint64(published), Entries: parts[after:min(after+2, published)]})
	}))
	defer srv.Close()
	client := New(Config{ConfigAddress: srv.URL, ReadsPerS: 1000, Burst: 100})
	got, err := client.Entries(context.Background(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Entries, qt.HasLen, 6)
	published = 4
	got, err = client.Entries(context.Background(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Entries, qt.HasLen, 1)
}

// Guards against a process that exceeds its read rate while reads of the host list fail.
func TestTokenBucketLimitsReads(t *testing.T) {
	c := qt.New(t)
	var reads atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reads.Add(1)
		http.Error(w, "down", http.StatusInternalServerError)
	}))
	defer srv.Close()
	client := New(Config{HostsAddress: srv.URL, ReadsPerS: 50, Burst: 1, BackoffMin: time.Microsecond, BackoffMax: time.Microsecond})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	client.FollowHosts(ctx, time.Microsecond, func(u HostsUpdate) {
		e := outcome.From(u.Err, "", "")
		c.Check(e.Kind, qt.Equals, outcome.NotRun)
		c.Check(e.Step, qt.Equals, "hosts")
	})
	c.Assert(reads.Load() > 3 && reads.Load() <= 11, qt.IsTrue, qt.Commentf("reads %d", reads.Load()))
}

// Guards against transferring the whole host list on each read, and against treating a changed list as
// unchanged.
func TestUnchangedHostListIsNotTransferred(t *testing.T) {
	c := qt.New(t)
	version, transfers := 1, 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		etag := strconv.Quote(strconv.Itoa(version))
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		json.NewEncoder(w).Encode(platformapi.Hosts{Version: uint64(version)})
	}))
	defer srv.Close()
	client := New(Config{HostsAddress: srv.URL, ReadsPerS: 1000, Burst: 100})
	for _, want := range []int{1, 1, 2, 2} {
		version = want
		got, err := client.Hosts(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(got.Version, qt.Equals, uint64(want))
	}
	c.Assert(transfers, qt.Equals, 2)
}
