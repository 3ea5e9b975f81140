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

// Kind is the kind of object that holds a registration.
const Kind = "acaciaglade-hosts"

// Backoff between two attempts to write a registration, and between two watches.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Store is the platform's store of registrations.
type Store interface {
	objects.Store
	objects.Deleter
}

// Roster registers this host and watches the registrations of the others. It is safe
// for concurrent use.
type Roster struct {
	store Store
	name  string
	own   registration
	// onChange is called with the hosts after each change.
	onChange func([]hosts.Host)
	// registered is true once the registration of this incarnation has been written.
	registered bool
	log        *logrus.Entry

	mu   sync.Mutex
	view *View
	// removed wakes renew when this host's registration is missing from the store.
	removed chan struct{}
}

// New returns the roster of a host. onChange is called with the hosts after each
// change; it may be nil.
func New(store Store, own hosts.Host, onChange func([]hosts.Host)) *Roster {
	if onChange == nil {
		onChange = func([]hosts.Host) {}
	}
	return &Roster{
		store: store, name: own.Name, onChange: onChange, log: logging.For("roster"),
		own:  registration{Role: own.Role, FailureDomain: own.FailureDomain, Address: own.Address, Incarnation: uuid.NewString()},
		view: NewView(own.Name), removed: make(chan struct{}, 1),
	}
}

// LimitDivisor returns the current View.LimitDivisor.
func (r *Roster) LimitDivisor() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.LimitDivisor(time.Now())
}

// Run registers this host, renews its registration and watches those of the others
// until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	go r.renew(ctx)
	backoff := pause.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		err := r.store.Watch(ctx, Kind, func(e objects.Event) {
			backoff.Reset()
			r.apply(e)
		})
		r.log.WithError(err).Debug("watch of registrations ended; it is restarted")
		pause.Sleep(ctx, backoff.NextBackOff())
	}
}

func (r *Roster) apply(e objects.Event) {
	now := time.Now()
	r.mu.Lock()
	if e.Type == objects.Restored {
		r.view.MarkRestored(now)
	} else if e.Type == objects.Bookmark {
		r.view.MarkListed()
	} else if err := r.view.Apply(e, now); err != nil {
		r.log.WithError(err).Warn("registration can't be decoded; it still counts as a host")
	}
	list := r.view.Hosts(now)
	removed := r.view.complete && (e.Type == objects.Restored || r.view.ResourceVersion(r.name) == "")
	r.mu.Unlock()
	if removed {
		select {
		case r.removed <- struct{}{}:
		default:
		}
	}
	r.onChange(list)
}

// renew writes this host's registration, at each interval and when it has been
// removed from the store, and removes expired registrations of other hosts.
func (r *Roster) renew(ctx context.Context) {
	backoff := pause.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.write(ctx); err != nil {
			wait = backoff.NextBackOff()
			r.log.WithError(err).WithField("again_ms", wait.Milliseconds()).Warn("registration not written; retrying")
		} else {
			backoff.Reset()
			r.sweep(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-r.removed:
			pause.Sleep(ctx, minBackoff)
		}
	}
}

// write creates the registration, or replaces one of an earlier incarnation or of a copy
// from which the store has come back.
func (r *Roster) write(ctx context.Context) error {
	r.own.Renewals++
	r.mu.Lock()
	version := r.view.ResourceVersion(r.name)
	r.mu.Unlock()
	if version != "" {
		_, err := r.store.Update(ctx, Kind, r.name, version, r.own)
		if !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrNotFound) {
			return r.logRegistered(err)
		}
	}
	_, err := r.store.Create(ctx, Kind, r.name, r.own)
	if !errors.Is(err, objects.ErrExists) {
		return r.logRegistered(err)
	}
	o, err := r.store.Get(ctx, Kind, r.name)
	if err != nil {
		return err
	}
	_, err = r.store.Update(ctx, Kind, r.name, o.Metadata.ResourceVersion, r.own)
	return r.logRegistered(err)
}

// logRegistered logs the first registration of this incarnation. It returns err.
func (r *Roster) logRegistered(err error) error {
	if err == nil && !r.registered {
		r.registered = true
		r.log.WithField("incarnation", r.own.Incarnation).Info("host registered")
	}
	return err
}

// sweep removes the expired registrations of other hosts.
func (r *Roster) sweep(ctx context.Context) {
	r.mu.Lock()
	expired := r.view.Expired(time.Now())
	r.mu.Unlock()
	for _, name := range expired {
		err := r.store.Delete(ctx, Kind, name)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			r.log.WithError(err).WithField("host", name).Warn("expired registration not removed")
			continue
		}
		r.log.WithField("host", name).Info("expired registration removed")
	}
}
