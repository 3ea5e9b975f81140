package deploy

import (
	"fmt"
	"strconv"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// addGroup starts the ranks of a group and their agents. Only the agent of rank 0 is an
// upstream: it receives the group's requests.
func (d *Deployment) addGroup() error {
	ranks, err := freeAddresses(d.Config.Ranks)
	if err != nil {
		return err
	}
	agents, err := freeAddresses(d.Config.Ranks)
	if err != nil {
		return err
	}
	var rankURLs, memberURLs []string
	for i := range ranks {
		rankURLs = append(rankURLs, "--rank-url", "http://"+ranks[i])
		memberURLs = append(memberURLs, "--group-member", "http://"+agents[i])
	}
	for i := range ranks {
		if err := d.addRank(i, ranks[i], rankURLs); err != nil {
			return err
		}
		if err := d.addRankAgent(i, agents[i], memberURLs); err != nil {
			return err
		}
	}
	if len(d.RankAgents) > 0 {
		agent := d.RankAgents[0]
		d.Agents = append(d.Agents, agent)
		d.allHosts = append(d.allHosts, hosts.Host{Name: agent.Name, Role: hosts.RoleUpstream, FailureDomain: agent.Domain, Address: agent.URL()})
	}
	return nil
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	return addresses, nil
}

func (d *Deployment) addRank(i int, address string, urls []string) error {
	args := append([]string{"rank", "--rank", strconv.Itoa(i)}, urls...)
	rank, err := d.RunAt(address, fmt.Sprintf("rank-%d", i), d.failureDomain(0), "lab", append(args, d.Config.RankArgs...)...)
	if err != nil {
		return err
	}
	d.Ranks = append(d.Ranks, rank)
	return nil
}

func (d *Deployment) addRankAgent(i int, address string, urls []string) error {
	name := fmt.Sprintf("group-%d", i)
	args, err := d.commonArgs(name, d.failureDomain(0))
	if err != nil {
		return err
	}
	args = append(args, "--service", ModelService, "--upstream", d.Ranks[i].URL(), "--model", "--group-rank", strconv.Itoa(i))
	args = append(args, urls...)
	agent, err := d.RunAt(address, name, d.failureDomain(0), "acaciaglade-agent", append(args, d.Config.RankAgentArgs...)...)
	if err != nil {
		return err
	}
	d.RankAgents = append(d.RankAgents, agent)
	return nil
}
