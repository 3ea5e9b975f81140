package deploy

import (
	"context"
	"syscall"
)

// PartitionDomain cuts every link that crosses the border of a failure domain. What
// stands inside it still reaches itself.
func (d *Deployment) PartitionDomain(domain string) {
	for r, l := range d.links {
		if d.crosses(r, domain) {
			l.Cut()
		}
	}
}

// HealDomain takes PartitionDomain back.
func (d *Deployment) HealDomain(domain string) {
	for r, l := range d.links {
		if d.crosses(r, domain) {
			l.Heal()
		}
	}
}

func (d *Deployment) crosses(r route, domain string) bool {
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

// KillDomain kills every process in a failure domain at once.
func (d *Deployment) KillDomain(ctx context.Context, domain string) error {
	killed := d.inDomain(domain)
	for _, p := range killed {
		if err := p.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, p := range killed {
		if err := p.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// RestartDomain starts the killed processes of a failure domain again, at the
// addresses that they had.
func (d *Deployment) RestartDomain(domain string) error {
	for _, p := range d.inDomain(domain) {
		if err := d.Restart(p); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) inDomain(domain string) []*Process {
	var in []*Process
	for _, p := range d.processes {
		if p.Domain == domain {
			in = append(in, p)
		}
	}
	return in
}
