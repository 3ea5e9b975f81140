package deploy

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// route is one direction of calls between two processes.
type route struct{ from, to string }

// hostList is the host list that one entry reads. With links, each entry has a
// list of its own, in which every address is that of a link.
type hostList struct {
	*Process
	reader string
}

// hostListFor returns the host list that an entry reads.
func (d *Deployment) hostListFor(entry string) (*hostList, error) {
	if !d.Shape.Links && len(d.hostLists) > 0 {
		return d.hostLists[0], nil
	}
	p, err := d.Run("hosts-"+entry, "", "lab", "hosts", "--lag", d.Shape.HostListLag.String())
	if err != nil {
		return nil, err
	}
	h := &hostList{Process: p, reader: entry}
	d.hostLists = append(d.hostLists, h)
	return h, nil
}

// Hosts returns the hosts of the deployment, with their own addresses.
func (d *Deployment) Hosts() []hosts.Host { return d.list }

// SetHosts replaces the hosts of the deployment. PublishHosts makes them known.
func (d *Deployment) SetHosts(list []hosts.Host) { d.list = list }

// PublishHosts sends the hosts to every host list.
func (d *Deployment) PublishHosts(ctx context.Context) error {
	for _, h := range d.hostLists {
		list := make([]hosts.Host, len(d.list))
		for i, host := range d.list {
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

// routeURL returns the base URL at which one process reaches another.
func (d *Deployment) routeURL(from, to, address string) (string, error) {
	if !d.Shape.Links {
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

// Link returns the link on which one process calls another by name. "objects"
// names the object API.
func (d *Deployment) Link(from, to string) (*link.Link, error) {
	l, ok := d.links[route{from: from, to: to}]
	if !ok {
		return nil, errors.Errorf("no link from %s to %s; start the deployment with links", from, to)
	}
	return l, nil
}
