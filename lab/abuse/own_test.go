package abuse

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// Path and token of an ordinary request to an entry with its own interface.
const (
	orderPath = "/services/" + deploy.OrderService + "/orders/confirm"
	ownBody   = 1 << 20
)

func ownToken() string { return demo.Token("franchise") }

// startOwn starts an entry and an agent that use their own interface, and returns both.
func startOwn(t *testing.T) (entry, agent *process) {
	t.Helper()
	buildPrograms(t)
	t.Setenv("ACACIAGLADE_MEMORY_MB", strconv.Itoa(memoryMB))
	t.Setenv("ACACIAGLADE_MAX_DESCRIPTORS", strconv.Itoa(maxDescriptors))
	domains := []string{"fd-a"}
	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	d, err := deploy.Start(ctx, programs, t.TempDir(), deploy.Config{
		FailureDomains: domains, Entries: 1, Models: 1, Orders: 1, Table: demo.Table(domains),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return ownProcess(t, d.Entries[0]), ownProcess(t, d.Agents[0])
}

func ownProcess(t *testing.T, started *deploy.Process) *process {
	t.Helper()
	host, port, err := net.SplitHostPort(started.Address)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{pid: started.Pid(), ip: host, ended: make(chan struct{})}
	if p.port, err = strconv.Atoi(port); err != nil {
		t.Fatal(err)
	}
	go func() {
		if started.Wait(context.Background()) == nil {
			close(p.ended)
		}
	}()
	return p
}

// isOrderServed reports whether one ordinary request to an entry with its own interface is served.
func (p *process) isOrderServed(ctx context.Context) (bool, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address(p.port)+orderPath, strings.NewReader("{}"))
	if err != nil {
		return false, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+ownToken())
	resp, err := newClient().Do(req)
	if err != nil {
		return false, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.Status
}

// ownHead returns the head of a request to the own interface of an entry.
func ownHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer %s\r\n", path, ownToken())
}

// ownCrowd is larger than other crowds, since bodies have a lower limit.
const ownCrowd = 4 * crowdSize

var ownShapes = []shape{
	{"body that stops short of its length", ownCrowd, func(c net.Conn, _ int) {
		announcedBody(c, ownHead(orderPath), ownBody, ownBody-missingBytes)
	}},
	{"body in chunks that stops short of its end", ownCrowd, func(c net.Conn, _ int) {
		chunkedBody(c, ownHead(orderPath), 8000, ownBody-missingBytes)
	}},
	{"head that stays open", headCrowd, func(c net.Conn, _ int) {
		if write(c, ownHead(orderPath)) {
			repeatBytes(c, "X-Field: "+strings.Repeat("v", 100)+"\r\n", 900<<10)
		}
	}},
	{"connections without a byte", connectionCrowd, func(net.Conn, int) {}},
}

// TestClientsBeyondLimitsOfOwnInterface does the same as TestClientsBeyondLimitsOfCallers for
// entries and agents that use their own interface.
func TestClientsBeyondLimitsOfOwnInterface(t *testing.T) {
	for _, s := range ownShapes {
		t.Run("entry/"+s.name, func(t *testing.T) {
			p, _ := startOwn(t)
			p.run(t, p.port, s, func() (bool, string) { return p.isOrderServed(t.Context()) })
		})
	}
	for _, s := range internalShapes {
		t.Run("agent/"+s.name, func(t *testing.T) {
			_, p := startOwn(t)
			p.run(t, p.port, s, p.checkOf(t, p.port, "/metrics"))
		})
	}
}
