package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// upstreamsSlope measures one entry without traffic and with many upstreams.
var upstreamsSlope = Slope{
	Name:    "upstreams",
	Summary: "messages, processor time and memory of one idle entry, by upstreams",
	Unit:    "upstreams",
	sizes:   []int{12, 60, 200, 630},
	measure: measureUpstreams,
}

// fakeAgents serves the reports of any number of agents at one address. The first
// element of the path is the name of the agent.
type fakeAgents struct {
	traffic  traffic
	messages atomic.Int64
	sequence atomic.Uint64
	listener net.Listener
	server   *http.Server
}

func newFakeAgents() (*fakeAgents, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a := &fakeAgents{listener: l}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(&countingListener{Listener: l, traffic: &a.traffic}) }()
	return a, nil
}

// ServeHTTP responds to a request with a report.
func (a *fakeAgents) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a.messages.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(api.Report{
		Upstream: name, FailureDomain: "fd-a", Service: deploy.ModelService,
		Incarnation: "7f6ad2a5-3c1f-4b8e-9d3f-0d6a3d9a2b11", Sequence: a.sequence.Add(1),
		Limit: 16, Running: 4, Ready: true, StepMillis: 12.5, Skew: 1.1,
	})
}

func (a *fakeAgents) hostList(n int) []hosts.Host {
	list := make([]hosts.Host, n)
	for i := range list {
		name := fmt.Sprintf("agent-%03d", i)
		list[i] = hosts.Host{
			Name: name, Role: hosts.RoleUpstream, FailureDomain: "fd-a",
			Address: "http://" + a.listener.Addr().String() + "/" + name,
		}
	}
	return list
}

// warmupMessages is the number of messages before the measurement starts.
const warmupMessages = 48

func measureUpstreams(ctx context.Context, c *Command, n int) ([]Figure, error) {
	a, err := newFakeAgents()
	if err != nil {
		return nil, err
	}
	defer a.server.Close()
	d, err := c.startDeployment(ctx, deploy.Config{Entries: 1})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	d.SetHosts(append(d.Hosts(), a.hostList(n)...))
	if err := d.PublishHosts(ctx); err != nil {
		return nil, err
	}
	if err := waitFor(ctx, func() bool { return a.messages.Load() >= warmupMessages }); err != nil {
		return nil, err
	}
	messages, in, out := a.messages.Load(), a.traffic.received.Load(), a.traffic.sent.Load()
	usage, err := c.measureUsage(d.Entries[0])
	if err != nil {
		return nil, err
	}
	seconds := c.Duration.Seconds()
	return []Figure{
		newFigure("messages", "a second", float64(a.messages.Load()-messages)/seconds),
		newFigure("bytes of control", "bytes a second", float64(a.traffic.received.Load()-in+a.traffic.sent.Load()-out)/seconds),
		newFigure("processor", "% of a core", usage.processorPercent),
		newFigure("resident memory", "MB", usage.memoryMB),
		newFigure("bytes of a report with its question", "bytes", bytesPerMessage(a, messages, in, out)),
	}, nil
}

func bytesPerMessage(a *fakeAgents, messages, in, out int64) float64 {
	bytes := a.traffic.received.Load() - in + a.traffic.sent.Load() - out
	return float64(bytes) / float64(max(1, a.messages.Load()-messages))
}
