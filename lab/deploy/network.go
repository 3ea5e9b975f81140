package deploy

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// route names the calling and the called process of a connection.
type route struct{ from, to string }

// hostList is the simulator of the host list that an entry reads. With links, each entry
// reads its own host list, whose addresses are those of the entry's links.
type hostList struct {
	*Process
	reader string
}

// hostListFor returns the host list that an entry reads. It starts one for each entry
// when the deployment has links, else one for all entries.
func (d *Deployment) hostListFor(entry string) (*hostList, error) {
	if !d.Config.Links && len(d.hostLists) > 0 {
		return d.hostLists[0], nil
	}
	p, err := d.Run("hosts-"+entry, "", "lab", "hosts", "--lag", d.Config.HostListLag.String())
	if err != nil {
		return nil, err
	}
	h := &hostList{Process: p, reader: entry}
	d.hostLists = append(d.hostLists, h)
	return h, nil
}

// Hosts returns the hosts of the deployment, with their own addresses.
func (d *Deployment) Hosts() []hosts.Host { return d.allHosts }

// SetHosts replaces the hosts of the deployment. Call PublishHosts to publish them.
func (d *Deployment) SetHosts(list []hosts.Host) { d.allHosts = list }

// PublishHosts puts the hosts into every host list.
func (d *Deployment) PublishHosts(ctx context.Context) error {
	for _, h := range d.hostLists {
		list := make([]hosts.Host, len(d.allHosts))
		for i, host := range d.allHosts {
			address, err := d.routeURL(h.reader, host.Name, host.Address[len("http://"):])
			if err != nil {
				return err
			}
			list[i] = host
			list[i].Address = address
		}
		if err := poll(ctx, func() error { return PutJSON(ctx, h.URL()+"/lab/hosts", list) }); err != nil {
			return err
		}
	}
	return nil
}

// routeURL returns the base URL at which one process reaches another: its address, or
// that of a link to it.
func (d *Deployment) routeURL(from, to, address string) (string, error) {
	if !d.Config.Links {
		return "http://" + address, nil
	}
	key := route{from: from, to: to}
	if _, ok := d.links[key]; !ok {
		l, err := link.New(address)
		if err != nil {
			return "", err
		}
		d.links[key] = l
	}
	return "http://" + d.links[key].Address(), nil
}

// Link returns the link on which one process calls another, both by name. The object API
// is named "objects".
func (d *Deployment) Link(from, to string) (*link.Link, error) {
	l, ok := d.links[route{from: from, to: to}]
	if !ok {
		return nil, errors.Errorf("no link from %s to %s; set Config.Links", from, to)
	}
	return l, nil
}
