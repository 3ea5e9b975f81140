package deploy

import (
	"context"
	"syscall"
)

// PartitionDomain cuts every link that crosses the border of a failure domain. Processes
// inside it still reach each other.
func (d *Deployment) PartitionDomain(domain string) {
	for r, l := range d.links {
		if d.crossesBorder(r, domain) {
			l.Cut()
		}
	}
}

// HealDomain restores the links that PartitionDomain cut.
func (d *Deployment) HealDomain(domain string) {
	for r, l := range d.links {
		if d.crossesBorder(r, domain) {
			l.Heal()
		}
	}
}

func (d *Deployment) crossesBorder(r route, domain string) bool {
	return (d.domainOf(r.from) == domain) != (d.domainOf(r.to) == domain)
}

func (d *Deployment) domainOf(name string) string {
	for _, p := range d.processes {
		if p.Name == name {
			return p.Domain
		}
	}
	return ""
}

// KillDomain kills every process of a failure domain and waits until they have ended.
func (d *Deployment) KillDomain(ctx context.Context, domain string) error {
	victims := d.processesIn(domain)
	for _, p := range victims {
		if err := p.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, p := range victims {
		if err := p.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// RestartDomain restarts the killed processes of a failure domain at their previous
// addresses.
func (d *Deployment) RestartDomain(domain string) error {
	for _, p := range d.processesIn(domain) {
		if err := d.Restart(p); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) processesIn(domain string) []*Process {
	var in []*Process
	for _, p := range d.processes {
		if p.Domain == domain {
			in = append(in, p)
		}
	}
	return in
}
