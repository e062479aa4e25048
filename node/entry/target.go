package entry

import (
	"net/url"
	"strings"
)

// requestPath returns the path of a request as it was received, which is the form that selects the route and that servers get.
// net/http keeps that form in RawPath, unless it is the usual encoding of Path.
func requestPath(u *url.URL) string {
	if u.RawPath != "" {
		return u.RawPath
	}
	return u.EscapedPath()
}

// isSendable reports whether a request can be sent with the path that was received. net/http encodes what a URL may not hold,
// unless the path is opaque, and it takes two slashes at the start of an opaque one for an authority.
func isSendable(received *url.URL) bool {
	path := requestPath(received)
	return received.EscapedPath() == path || !strings.HasPrefix(path, "//")
}

// setTarget gives an outgoing request the path and the query of a received one, which is sendable, without changing a byte.
func setTarget(out, received *url.URL) {
	out.Path, out.RawPath = received.Path, received.RawPath
	out.RawQuery, out.ForceQuery = received.RawQuery, received.ForceQuery
	if path := requestPath(received); received.EscapedPath() != path {
		out.Opaque = path
	}
}
