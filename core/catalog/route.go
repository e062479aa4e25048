package catalog

import (
	"net"
	"net/url"
	"strings"
)

// routeKey is a host in lower case with a path prefix that ends with a slash, as it stands in a request.
type routeKey struct{ host, prefix string }

type routeIndex map[routeKey]*Route

func newRouteIndex(routes []Route) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		index[routeKey{host, r.Prefix}] = r
		if encoded := encodedPrefix(r.Prefix); index[routeKey{host, encoded}] == nil {
			index[routeKey{host, encoded}] = r
		}
	}
	return index
}

// encodedPrefix returns a prefix as it stands in requests if it has characters that a URL may not hold.
func encodedPrefix(prefix string) string {
	if strings.Contains(prefix, "%") {
		return prefix
	}
	return (&url.URL{Path: prefix}).EscapedPath()
}

// hostName returns a host in lower case without a port and without the dot of the root at its end.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// find returns the route of the host as it stands in the request or, if it has none, without its port.
func (x routeIndex) find(host, path string) *Route {
	if r := x.longest(strings.ToLower(host), path); r != nil {
		return r
	}
	return x.longest(hostName(host), path)
}

// longest tries the path's prefixes from the longest to the shortest, with one map lookup for each segment. Its cost does
// not depend on the number of routes.
func (x routeIndex) longest(host, path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := x[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Pick chooses a service of the route by weight. The draw is a random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
