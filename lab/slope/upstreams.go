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

// upstreams measures one entry without traffic before many agents.
var upstreams = Slope{
	Name:    "upstreams",
	Summary: "messages, processor time and memory of one idle entry, by upstreams",
	Unit:    "upstreams",
	sizes:   []int{12, 60, 200, 630},
	measure: measureUpstreams,
}

// agents stands for any number of agents at one address, told apart by the
// first part of the path.
type agents struct {
	traffic  traffic
	messages atomic.Int64
	sequence atomic.Uint64
	listener net.Listener
	server   *http.Server
}

func newAgents() (*agents, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a := &agents{listener: l}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(&countingListener{Listener: l, traffic: &a.traffic}) }()
	return a, nil
}

// ServeHTTP answers a request for a report.
func (a *agents) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a.messages.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(api.Report{
		Upstream: name, FailureDomain: "fd-a", Service: deploy.ModelService,
		Incarnation: "7f6ad2a5-3c1f-4b8e-9d3f-0d6a3d9a2b11", Sequence: a.sequence.Add(1),
		Limit: 16, Running: 4, Ready: true, StepMillis: 12.5, Skew: 1.1,
	})
}

func (a *agents) hosts(n int) []hosts.Host {
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

// firstMessages is how many messages are let pass before the measurement.
const firstMessages = 48

func measureUpstreams(ctx context.Context, c *Command, n int) ([]Figure, error) {
	a, err := newAgents()
	if err != nil {
		return nil, err
	}
	defer a.server.Close()
	d, err := c.deploy(ctx, deploy.Config{Entries: 1})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	d.SetHosts(append(d.Hosts(), a.hosts(n)...))
	if err := d.PublishHosts(ctx); err != nil {
		return nil, err
	}
	if err := waitFor(ctx, func() bool { return a.messages.Load() >= firstMessages }); err != nil {
		return nil, err
	}
	messages, in, out := a.messages.Load(), a.traffic.in.Load(), a.traffic.out.Load()
	used, err := c.usage(d.Entries[0])
	if err != nil {
		return nil, err
	}
	seconds := c.Duration.Seconds()
	return []Figure{
		figureOf("messages", "a second", float64(a.messages.Load()-messages)/seconds),
		figureOf("bytes of control", "bytes a second", float64(a.traffic.in.Load()-in+a.traffic.out.Load()-out)/seconds),
		figureOf("processor", "% of a core", used.processor),
		figureOf("resident memory", "MB", used.memory),
		figureOf("bytes of a report with its question", "bytes", perMessage(a, messages, in, out)),
	}, nil
}

func perMessage(a *agents, messages, in, out int64) float64 {
	bytes := a.traffic.in.Load() - in + a.traffic.out.Load() - out
	return float64(bytes) / float64(max(1, a.messages.Load()-messages))
}
