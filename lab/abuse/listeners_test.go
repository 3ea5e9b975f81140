package abuse

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// listener is a listener of a process other than that for callers.
type listener struct {
	name  string
	start func(*testing.T) *process
	port  int
	// path is that of an ordinary request, empty if no path has status 200.
	path string
}

var listeners = []listener{
	{"readiness of an entry", startEntry, portReady, "/ready"},
	{"peers of an entry", startEntry, portPeers, "/healthz"},
	{"metrics of an entry", startEntry, portMetrics, "/metrics"},
	{"peers of an agent", startAgent, portPeers, ""},
	{"metrics of an agent", startAgent, portMetrics, "/metrics"},
}

// internalHead returns the head of a request to a listener other than that for callers.
func internalHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n", path)
}

// internalShapes are the kinds of misbehaviour towards every other listener.
var internalShapes = []shape{
	{"head that stays open", headCrowd, func(c net.Conn, _ int) {
		if write(c, internalHead("/")) {
			repeatBytes(c, "X-Field: "+strings.Repeat("v", 100)+"\r\n", 900<<10)
		}
	}},
	{"connections without a byte", connectionCrowd, func(net.Conn, int) {}},
}

// postPaths are paths of processes that read the body of a request.
var postPaths = []struct {
	start func(*testing.T) *process
	path  string
	// ordinary is the path of an ordinary request, as in a listener.
	ordinary string
}{
	{startEntry, "/v1/table/news", "/healthz"},
	{startEntry, "/v1/ceilings", "/healthz"},
	{startEntry, "/v1/quarantine/reports", "/healthz"},
	{startEntry, "/v1/quarantine/trials", "/healthz"},
	{startEntry, "/v1/upstreams/limits", "/healthz"},
	{startAgent, "/v1/rank/ask", ""},
}

// bodyShapes are the kinds of misbehaviour towards paths that read a body.
func bodyShapes(path string) []shape {
	return []shape{
		{"string without end", crowdSize, func(c net.Conn, _ int) {
			if write(c, internalHead(path)+"Content-Length: 99999999999\r\n\r\n{\"a\":\"") {
				repeat(c, "b")
			}
		}},
		{"list without end in chunks", crowdSize, func(c net.Conn, _ int) {
			if write(c, internalHead(path)+"Transfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n8\r\nreports\"\r\n2\r\n:[\r\n") {
				repeat(c, fmt.Sprintf("%x\r\n%s\r\n", 3000, strings.Repeat("{},", 1000)))
			}
		}},
	}
}

// checkOf returns the check that a listener answers an ordinary request.
func (p *process) checkOf(t *testing.T, port int, path string) func() (bool, string) {
	return func() (bool, string) {
		if path == "" {
			_, why := p.answers(t.Context(), port, "/")
			return strings.HasPrefix(why, "404"), why
		}
		return p.answers(t.Context(), port, path)
	}
}

// TestClientsBeyondLimitsOfInternalListeners guards against clients that end a process, or keep
// others from being answered, through a listener that is not for callers.
func TestClientsBeyondLimitsOfInternalListeners(t *testing.T) {
	for _, l := range listeners {
		for _, s := range internalShapes {
			t.Run(l.name+"/"+s.name, func(t *testing.T) {
				p := l.start(t)
				p.run(t, l.port, s, p.checkOf(t, l.port, l.path))
			})
		}
	}
	for _, post := range postPaths {
		for _, s := range bodyShapes(post.path) {
			t.Run(strings.TrimPrefix(post.path, "/v1/")+"/"+s.name, func(t *testing.T) {
				p := post.start(t)
				p.run(t, portPeers, s, p.checkOf(t, portPeers, post.ordinary))
			})
		}
	}
}
