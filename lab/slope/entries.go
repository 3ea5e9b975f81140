package slope

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
)

// entriesSlope measures one agent without traffic from which many entries request
// reports.
var entriesSlope = Slope{
	Name:    "entries",
	Summary: "messages, processor time and memory of one idle agent, by entries that request its report every 250 ms",
	Unit:    "entries",
	sizes:   []int{4, 32, 120, 330},
	measure: measureEntries,
}

// reportInterval is the interval at which an entry requests a report.
const reportInterval = 250 * time.Millisecond

// fakeEntries requests reports from one agent as entries do.
type fakeEntries struct {
	address  string
	messages atomic.Int64
	traffic  traffic
}

// pollReports requests reports on one connection until ctx ends.
func (a *fakeEntries) pollReports(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: a.dial}}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if a.requestReport(ctx, client) == nil {
			a.messages.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// requestReport requests one report.
func (a *fakeEntries) requestReport(ctx context.Context, client *http.Client) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.address+peer.PathReport, strings.NewReader("{}"))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set(api.HeaderPeerToken, deploy.PeerToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.WithStack(err)
}

func (a *fakeEntries) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: &a.traffic}, nil
}

func measureEntries(ctx context.Context, c *Command, n int) ([]Figure, error) {
	d, err := c.startDeployment(ctx, deploy.Config{Entries: 1, Orders: 1})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &fakeEntries{address: d.Agents[0].URL()}
	// The entry of the deployment is one of the n entries.
	for range n - 1 {
		go a.pollReports(ctx)
	}
	if err := waitFor(ctx, func() bool { return a.messages.Load() >= int64(4*(n-1)) }); err != nil {
		return nil, err
	}
	messages, bytes := a.messages.Load(), a.traffic.received.Load()+a.traffic.sent.Load()
	usage, err := c.measureUsage(d.Agents[0])
	if err != nil {
		return nil, err
	}
	seconds := c.Duration.Seconds()
	return []Figure{
		newFigure("messages", "a second", float64(a.messages.Load()-messages)/seconds),
		newFigure("bytes of control", "bytes a second", float64(a.traffic.received.Load()+a.traffic.sent.Load()-bytes)/seconds),
		newFigure("processor", "% of a core", usage.processorPercent),
		newFigure("resident memory", "MB", usage.memoryMB),
	}, nil
}
