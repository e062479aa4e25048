package entry

import "net/http"

// abort ends the connection of a response that must not look complete, and the handler with it. To callers of HTTP/1.1 the
// missing last chunk shows the cut. A body in HTTP/1.0 ends with its connection, so only a reset shows it.
func abort(w *http.ResponseController, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

func reset(w *http.ResponseController) {
	conn, _, err := w.Hijack()
	if err != nil {
		return // the server has closed the connection
	}
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // an error means that the caller has disconnected
	}
	_ = conn.Close()
}
