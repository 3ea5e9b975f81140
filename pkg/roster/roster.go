package roster

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
)

// Kind is the kind of the registrations.
const Kind = "acaciaglade-hosts"

// Pauses between two tries to write, and between two watches.
const (
	firstPause = 100 * time.Millisecond
	mostPause  = 5 * time.Second
)

// Store is what the roster needs of the platform.
type Store interface {
	objects.Store
	objects.Deleter
}

// Roster registers this host and follows the others. It is safe for concurrent use.
type Roster struct {
	store Store
	name  string
	own   registration
	// changed is called with the hosts after each change.
	changed func([]hosts.Host)
	// registered is true once this start has been written.
	registered bool
	log        *logrus.Entry

	mu      sync.Mutex
	view    *View
	missing chan struct{}
}

// New returns the roster of a host. changed is called with the hosts after each
// change; it may be nil.
func New(store Store, own hosts.Host, changed func([]hosts.Host)) *Roster {
	if changed == nil {
		changed = func([]hosts.Host) {}
	}
	return &Roster{
		store: store, name: own.Name, changed: changed, log: logging.For("roster"),
		own:  registration{Role: own.Role, FailureDomain: own.FailureDomain, Address: own.Address, Incarnation: uuid.NewString()},
		view: NewView(own.Name), missing: make(chan struct{}, 1),
	}
}

// LimitDivisor returns View.LimitDivisor now.
func (r *Roster) LimitDivisor() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.LimitDivisor(time.Now())
}

// Run registers this host, renews its registration and follows the others until
// ctx ends.
func (r *Roster) Run(ctx context.Context) {
	go r.renew(ctx)
	between := pause.NewBackoff(firstPause, mostPause)
	for ctx.Err() == nil {
		err := r.store.Watch(ctx, Kind, func(e objects.Event) {
			between.Reset()
			r.take(e)
		})
		r.log.WithError(err).Debug("watch ended")
		pause.Sleep(ctx, between.NextBackOff())
	}
}

func (r *Roster) take(e objects.Event) {
	now := time.Now()
	r.mu.Lock()
	if e.Type == objects.Bookmark {
		r.view.MarkListed()
	} else if err := r.view.Apply(e, now); err != nil {
		r.log.WithError(err).Warn("registration not understood")
	}
	list := r.view.Hosts(now)
	gone := r.view.known && r.view.ResourceVersion(r.name) == ""
	r.mu.Unlock()
	if gone {
		select {
		case r.missing <- struct{}{}:
		default:
		}
	}
	r.changed(list)
}

// renew writes this host's registration, again at each interval and when it is
// missing, and removes those that lapsed.
func (r *Roster) renew(ctx context.Context) {
	between := pause.NewBackoff(firstPause, mostPause)
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.write(ctx); err != nil {
			wait = between.NextBackOff()
			r.log.WithError(err).WithField("again_ms", wait.Milliseconds()).Warn("host not registered")
		} else {
			between.Reset()
			r.sweep(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-r.missing:
			pause.Sleep(ctx, firstPause)
		}
	}
}

// write writes the registration, over one of an earlier start.
func (r *Roster) write(ctx context.Context) error {
	r.own.Renewals++
	r.mu.Lock()
	version := r.view.ResourceVersion(r.name)
	r.mu.Unlock()
	if version == "" {
		_, err := r.store.Create(ctx, Kind, r.name, r.own)
		if !errors.Is(err, objects.ErrExists) {
			return r.written(err)
		}
		o, err := r.store.Get(ctx, Kind, r.name)
		if err != nil {
			return err
		}
		version = o.Metadata.ResourceVersion
	}
	_, err := r.store.Update(ctx, Kind, r.name, version, r.own)
	return r.written(err)
}

// written logs the first registration of this start.
func (r *Roster) written(err error) error {
	if err == nil && !r.registered {
		r.registered = true
		r.log.WithField("incarnation", r.own.Incarnation).Info("host registered")
	}
	return err
}

// sweep removes the registrations of hosts that are gone.
func (r *Roster) sweep(ctx context.Context) {
	r.mu.Lock()
	lapsed := r.view.Expired(time.Now())
	r.mu.Unlock()
	for _, name := range lapsed {
		err := r.store.Delete(ctx, Kind, name)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			r.log.WithError(err).WithField("host", name).Warn("lapsed registration not removed")
			continue
		}
		r.log.WithField("host", name).Info("lapsed registration removed")
	}
}
