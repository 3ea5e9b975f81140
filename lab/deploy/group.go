package deploy

import (
	"fmt"
	"strconv"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// addGroup starts the ranks of a group and their agents. The agent of rank 0
// takes the group's requests.
func (d *Deployment) addGroup() error {
	ranks, err := freeAddresses(d.Shape.Ranks)
	if err != nil {
		return err
	}
	members, err := freeAddresses(d.Shape.Ranks)
	if err != nil {
		return err
	}
	var rankURLs, memberURLs []string
	for i := range ranks {
		rankURLs = append(rankURLs, "--rank-url", "http://"+ranks[i])
		memberURLs = append(memberURLs, "--group-member", "http://"+members[i])
	}
	for i := range ranks {
		if err := d.addRank(i, ranks[i], rankURLs); err != nil {
			return err
		}
		if err := d.addMember(i, members[i], memberURLs); err != nil {
			return err
		}
	}
	if len(d.RankAgents) > 0 {
		front := d.RankAgents[0]
		d.Agents = append(d.Agents, front)
		d.list = append(d.list, hosts.Host{Name: front.Name, Role: hosts.RoleUpstream, FailureDomain: front.Domain, Address: front.URL()})
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
	rank, err := d.RunAt(address, fmt.Sprintf("rank-%d", i), d.domain(0), "lab", append(args, d.Shape.RankArgs...)...)
	if err != nil {
		return err
	}
	d.Ranks = append(d.Ranks, rank)
	return nil
}

func (d *Deployment) addMember(i int, address string, urls []string) error {
	name := fmt.Sprintf("group-%d", i)
	args, err := d.common(name, d.domain(0))
	if err != nil {
		return err
	}
	args = append(args, "--service", ModelService, "--upstream", d.Ranks[i].URL(), "--model", "--group-rank", strconv.Itoa(i))
	args = append(args, urls...)
	member, err := d.RunAt(address, name, d.domain(0), "acaciaglade-agent", append(args, d.Shape.RankAgentArgs...)...)
	if err != nil {
		return err
	}
	d.RankAgents = append(d.RankAgents, member)
	return nil
}
