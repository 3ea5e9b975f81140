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

// entries measures one agent without traffic that many entries ask for reports.
var entries = Slope{
	Name:    "entries",
	Summary: "messages, processor time and memory of one idle agent, by entries that ask it every 250 ms",
	Unit:    "entries",
	sizes:   []int{4, 32, 120, 330},
	measure: measureEntries,
}

// askInterval is an entry's time between two reports.
const askInterval = 250 * time.Millisecond

// askers stands for entries that ask one agent.
type askers struct {
	address  string
	messages atomic.Int64
	traffic  traffic
}

// run asks on one connection until ctx ends.
func (a *askers) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: a.dial}}
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		if a.ask(ctx, client) == nil {
			a.messages.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ask asks for one report.
func (a *askers) ask(ctx context.Context, client *http.Client) error {
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

func (a *askers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: &a.traffic}, nil
}

func measureEntries(ctx context.Context, c *Command, n int) ([]Figure, error) {
	d, err := c.deploy(ctx, deploy.Config{Entries: 1, Orders: 1})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &askers{address: d.Agents[0].URL()}
	// The deployment's own entry is one of them.
	for range n - 1 {
		go a.run(ctx)
	}
	if err := waitFor(ctx, func() bool { return a.messages.Load() >= int64(4*(n-1)) }); err != nil {
		return nil, err
	}
	messages, bytes := a.messages.Load(), a.traffic.in.Load()+a.traffic.out.Load()
	used, err := c.usage(d.Agents[0])
	if err != nil {
		return nil, err
	}
	seconds := c.Duration.Seconds()
	return []Figure{
		figureOf("messages", "a second", float64(a.messages.Load()-messages)/seconds),
		figureOf("bytes of control", "bytes a second", float64(a.traffic.in.Load()+a.traffic.out.Load()-bytes)/seconds),
		figureOf("processor", "% of a core", used.processor),
		figureOf("resident memory", "MB", used.memory),
	}, nil
}
