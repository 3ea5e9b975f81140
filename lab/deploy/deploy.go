// Package deploy starts a deployment as separate processes on loopback: entries,
// agents and the simulators of the systems around them. Each process can be signalled,
// killed and restarted.
package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Tokens of the deployment. They protect only processes on loopback, so that they need
// not be secret.
const (
	PeerToken     = "loopback-peer-token"
	OperatorToken = "loopback-operator-token"
)

// Config describes the size and the settings of a deployment.
type Config struct {
	FailureDomains []string
	Entries        int
	// Models and Orders are the numbers of engines and order services, each of which
	// has an agent.
	Models int
	Orders int
	// Ranks is the number of ranks of a group of the model service. Each rank has its
	// own process and its own agent. 0 starts no group.
	Ranks int
	// RankArgs are added to the commands of the ranks, RankAgentArgs to those of their
	// agents.
	RankArgs      []string
	RankAgentArgs []string
	// HostListLag is the delay after which a change of the host list is visible.
	HostListLag time.Duration
	// Links puts a link between each entry and every process that it calls, and between
	// each agent and the object API, so that each connection can be cut separately.
	Links bool
	// Table is the first table. Its version is assigned when it is written.
	Table table.Table
	// EngineArgs, AgentArgs and EntryArgs are added to the commands of engines, their
	// agents and entries. AgentArgs are also added to the agents of order services.
	EngineArgs []string
	// OrderArgs are added to the commands of order services.
	OrderArgs []string
	AgentArgs []string
	EntryArgs []string
}

// Names of services in deployments.
const (
	ModelService = "draft"
	OrderService = "orders"
)

// Process is a started process.
type Process struct {
	Name    string
	Address string
	// Domain is the failure domain, empty for the object API and host lists.
	Domain  string
	program string
	args    []string
	cmd     *exec.Cmd
	done    chan struct{}
}

// URL returns the process's base URL.
func (p *Process) URL() string { return "http://" + p.Address }

// Pid returns the ID of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) error { return errors.WithStack(p.cmd.Process.Signal(s)) }

// Wait waits until the process has ended, or ctx ends.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deployment is a set of processes that were started together.
type Deployment struct {
	Config Config
	// Objects is the object API.
	Objects *Process
	Entries []*Process
	// Agents are the agents of Upstreams, in the same order, followed by the agent of
	// rank 0 if there is a group.
	Agents    []*Process
	Upstreams []*Process
	// Ranks and RankAgents are the processes of a group's ranks and of their agents.
	Ranks      []*Process
	RankAgents []*Process

	bin       string
	logs      string
	processes []*Process
	allHosts  []hosts.Host
	hostLists []*hostList
	links     map[route]*link.Link
}

// Build builds the programs into a folder.
func Build(ctx context.Context, bin string) error {
	for _, target := range []string{
		"github.com/acaciaglade/acaciaglade/cmd/acaciaglade",
		"github.com/acaciaglade/acaciaglade/cmd/acaciaglade-agent",
		"github.com/acaciaglade/acaciaglade/lab/cmd/lab",
	} {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", bin+"/", target)
		if out, err := cmd.CombinedOutput(); err != nil {
			return errors.Errorf("go build %s failed: %s", target, out)
		}
	}
	return nil
}

// Start starts a deployment of the programs in the folder bin, with the processes' logs in
// the folder logs, and waits until every entry reports every agent as ready.
func Start(ctx context.Context, bin, logs string, cfg Config) (*Deployment, error) {
	d := &Deployment{Config: cfg, bin: bin, logs: logs, links: make(map[route]*link.Link)}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.Objects, err = d.Run("objects", "", "lab", "objects"); err != nil {
		return err
	}
	for i := range d.Config.Models {
		if err := d.addUpstream(i, ModelService, true); err != nil {
			return err
		}
	}
	for i := range d.Config.Orders {
		if err := d.addUpstream(i, OrderService, false); err != nil {
			return err
		}
	}
	if err := d.addGroup(); err != nil {
		return err
	}
	for i := range d.Config.Entries {
		if err := d.addEntry(i); err != nil {
			return err
		}
	}
	if err := d.publishHostsAndTable(ctx); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *Deployment) failureDomain(i int) string {
	return d.Config.FailureDomains[i%len(d.Config.FailureDomains)]
}

// addUpstream starts an engine or an order service, and its agent.
func (d *Deployment) addUpstream(i int, service string, model bool) error {
	name := fmt.Sprintf("%s-%d", service, i)
	args := append([]string{"orders"}, d.Config.OrderArgs...)
	if model {
		args = append([]string{"engine"}, d.Config.EngineArgs...)
	}
	upstream, err := d.Run("upstream-"+name, d.failureDomain(i), "lab", args...)
	if err != nil {
		return err
	}
	d.Upstreams = append(d.Upstreams, upstream)
	common, err := d.commonArgs(name, d.failureDomain(i))
	if err != nil {
		return err
	}
	agentArgs := append(common, "--service", service, "--upstream", upstream.URL())
	if model {
		agentArgs = append(agentArgs, "--model")
	}
	agent, err := d.Run(name, d.failureDomain(i), "acaciaglade-agent", append(agentArgs, d.Config.AgentArgs...)...)
	if err != nil {
		return err
	}
	d.Agents = append(d.Agents, agent)
	d.allHosts = append(d.allHosts, hosts.Host{Name: name, Role: hosts.RoleUpstream, FailureDomain: agent.Domain, Address: agent.URL()})
	return nil
}

func (d *Deployment) addEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i)
	common, err := d.commonArgs(name, d.failureDomain(i))
	if err != nil {
		return err
	}
	hostList, err := d.hostListFor(name)
	if err != nil {
		return err
	}
	args := append([]string{"serve"}, common...)
	args = append(args, "--host-list", hostList.URL(), "--operator-token", OperatorToken)
	entry, err := d.Run(name, d.failureDomain(i), "acaciaglade", append(args, d.Config.EntryArgs...)...)
	if err != nil {
		return err
	}
	d.Entries = append(d.Entries, entry)
	d.allHosts = append(d.allHosts, hosts.Host{Name: name, Role: hosts.RoleEntry, FailureDomain: entry.Domain, Address: entry.URL()})
	return nil
}

// commonArgs returns the arguments that entries and agents have in common.
func (d *Deployment) commonArgs(name, domain string) ([]string, error) {
	objects, err := d.routeURL(name, "objects", d.Objects.Address)
	return []string{"--name", name, "--failure-domain", domain, "--peer-token", PeerToken, "--object-api", objects}, err
}

// Run starts a program that listens on a free address.
func (d *Deployment) Run(name, domain, program string, args ...string) (*Process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return d.RunAt(address, name, domain, program, args...)
}

// RunAt starts a program that listens on an address.
func (d *Deployment) RunAt(address, name, domain, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(d.logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cmd := exec.Command(filepath.Join(d.bin, program), append(args, "--listen", address)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Process{Name: name, Address: address, Domain: domain, program: program, args: args, cmd: cmd, done: make(chan struct{})}
	go reap(cmd, log, p.done)
	d.processes = append(d.processes, p)
	return p, nil
}

// publishHostsAndTable publishes the hosts and writes the first table.
func (d *Deployment) publishHostsAndTable(ctx context.Context) error {
	if err := d.PublishHosts(ctx); err != nil {
		return err
	}
	if err := poll(ctx, func() error { return get(ctx, d.Entries[0].URL()+"/healthz") }); err != nil {
		return err
	}
	first := d.Config.Table
	return poll(ctx, func() error {
		_, err := d.Operator(0).PutTable(ctx, &first)
		return err
	})
}

// Operator returns a client of the operators' API of an entry.
func (d *Deployment) Operator(entry int) *operator.Client {
	return operator.NewClient(d.Entries[entry].URL(), OperatorToken)
}

// waitReady waits until every entry reports every agent as ready.
func (d *Deployment) waitReady(ctx context.Context) error {
	for i := range d.Entries {
		err := poll(ctx, func() error {
			s, err := d.Operator(i).Status(ctx)
			if err != nil {
				return err
			}
			ready := 0
			for _, u := range s.Upstreams {
				if u.Ready {
					ready++
				}
			}
			if ready < len(d.Agents) {
				return errors.Errorf("%s reports %d of %d upstreams as ready; see the logs in %s", d.Entries[i].Name, ready, len(d.Agents), d.logs)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Stop stops every process gracefully, and kills those that are still running after
// stopTimeout.
func (d *Deployment) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for i := len(d.processes) - 1; i >= 0; i-- {
		_ = d.processes[i].Signal(syscall.SIGCONT)
		_ = d.processes[i].Signal(syscall.SIGTERM)
	}
	for _, l := range d.links {
		l.Close()
	}
	for _, p := range d.processes {
		if p.Wait(ctx) != nil {
			_ = p.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// stopTimeout limits the time in which processes stop gracefully.
const stopTimeout = 10 * time.Second

// pollInterval is the time between two attempts of poll.
const pollInterval = 50 * time.Millisecond

// poll calls fn until it succeeds or ctx ends.
func poll(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "deployment not ready")
		case <-time.After(pollInterval):
		}
	}
}

// PutJSON puts a JSON value to a simulator.
func PutJSON(ctx context.Context, target string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	return sendRequest(ctx, http.MethodPut, target, raw)
}

func get(ctx context.Context, target string) error {
	return sendRequest(ctx, http.MethodGet, target, nil)
}

func sendRequest(ctx context.Context, method, target string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %d", strings.TrimPrefix(target, "http://"), resp.StatusCode)
	}
	return nil
}
