package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

// nestedRoutes returns a table whose routes differ in kind and lie below each other.
func nestedRoutes() *catalog.Table {
	t := catalog.NewTable()
	var routes []catalog.Route
	for _, prefix := range []string{"/", "/a/", "/a/b/", "/a/b/c/", "/%2f/", "/a%2Fb/"} {
		routes = append(routes, catalog.Route{Name: prefix, Host: "h.example", Prefix: prefix})
	}
	t.Replace(0, catalog.Snapshot{Revision: 1, Config: &catalog.Config{Version: 1, Routes: routes}})
	return t
}

// isForeignToHosts reports whether a host has a character with which net/http refuses it.
func isForeignToHosts(r rune) bool {
	return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:-_[]", r)
}

// Guards against a request whose route, and so its kind, its keys and its time limit, are those of another path than the one that
// its server gets, and against a server that gets another path, query or host than the caller has sent.
func FuzzRouteIsThatOfTheSentPath(f *testing.F) {
	for _, target := range []string{
		"/a/b%2Fc/1", "/a%2fb/c/1", "/a/%62/1", "/a//b/1", "//a/b/1", "/a/./b/../1", "/a/%2e%2E/b/1", "/a/b;c/1?x;y=%2F&", "/a?", "/a/\"b\"/^{|}",
		"/a/ü/1", "/a/%/1", "/a/%zz/1", "/a/#b/c/1", "/%2f/1", "//", "/", "*", "http://h.example/a/b%2Fc/1", "http://h.example//a/b", "/a/[b]/!$&'()*+,;=:@",
		"/http://x/a/b", "//a/\"/b",
	} {
		f.Add(target, "h.example")
		f.Add(target, "H.EXAMPLE.:80")
	}
	table := nestedRoutes()
	f.Fuzz(func(t *testing.T, target, host string) {
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")))
		if err != nil || !isSendable(received.URL) || strings.ContainsFunc(received.Host, isForeignToHosts) {
			return // refused
		}
		decided := table.Route(received.Host, requestPath(received.URL))
		if decided == nil {
			return // refused
		}
		out, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:1", nil)
		if err != nil {
			t.Fatal(err)
		}
		setTarget(out.URL, received.URL)
		out.Host = received.Host
		var wire bytes.Buffer
		if out.Write(&wire) != nil {
			return // nothing is sent
		}
		atServer, err := http.ReadRequest(bufio.NewReader(&wire))
		if err != nil {
			t.Fatalf("%q is sent as %q: %v", target, wire.String(), err)
		}
		if received.URL.Scheme == "" && atServer.RequestURI != received.RequestURI {
			t.Fatalf("%q is sent as %q", received.RequestURI, atServer.RequestURI)
		}
		if atServer.URL.RawQuery != received.URL.RawQuery || requestPath(atServer.URL) != requestPath(received.URL) {
			t.Fatalf("%q is sent as %q", received.URL, atServer.URL)
		}
		if sent := table.Route(atServer.Host, requestPath(atServer.URL)); sent == nil || decided.Name != sent.Name {
			t.Fatalf("%q at %q: route %+v, and %+v as sent", target, host, decided, sent)
		}
		if path := requestPath(atServer.URL); !strings.HasPrefix(path, decided.Prefix) {
			t.Fatalf("%q at %q has the route %s", path, host, decided.Prefix)
		}
	})
}
