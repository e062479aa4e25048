package catalog

import "strings"

// routeKey is a host with a path prefix that ends with a slash.
type routeKey struct{ host, prefix string }

type routeIndex map[routeKey]*Route

func newRouteIndex(routes []Route) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		r := &routes[i]
		index[routeKey{strings.ToLower(r.Host), r.Prefix}] = r
	}
	return index
}

// find tries the path's prefixes from the longest to the shortest, with one map lookup for each segment. Its cost does
// not depend on the number of routes.
func (x routeIndex) find(host, path string) *Route {
	host = strings.ToLower(host)
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
