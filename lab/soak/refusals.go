package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// refusalsKey is the key of the refusals of a connection in its context.
type refusalsKey struct{}

// refusals are the refusals that an upstream has sent on one connection. One request at a time
// uses them.
type refusals struct {
	// sent is true once a request was refused.
	sent bool
}

func withRefusals(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, refusalsKey{}, &refusals{})
}

// serveRefusals refuses every other request on a connection without refusals. On another one it
// runs the request and repeats the refusal, under the ID of the request. It reports whether it
// has responded.
func (u *upstream) serveRefusals(w http.ResponseWriter, r *http.Request, attempt string) bool {
	earlier := r.Context().Value(refusalsKey{}).(*refusals)
	if !earlier.sent {
		u.mu.Lock()
		earlier.sent = u.rand.IntN(2) == 0
		u.mu.Unlock()
		if earlier.sent {
			respondNotRun(w, http.StatusServiceUnavailable)
		}
		return earlier.sent
	}
	u.recordRun(r, attempt)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
	return true
}
