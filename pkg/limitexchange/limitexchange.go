// Package limitexchange exchanges what entries know of the limits of upstreams. An entry that
// receives a response that changes a limit sends its reports to all other entries, and again
// to those that it doesn't reach. An entry that starts asks another one. Package sendlimit
// decides what the reports mean.
package limitexchange

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// Limits of the exchange.
const (
	// sendTimeout limits one call of another entry.
	sendTimeout = 500 * time.Millisecond
	// sendInterval is the shortest time between two rounds of calls, so that limits that
	// change with each response cause few messages.
	sendInterval = 200 * time.Millisecond
	// maxSendTries is how often an entry that can't be reached is called for one change. It
	// gets the limit with its own responses as well.
	maxSendTries = 50
	// maxSyncTime is how long after its start an entry waits for another one's reports.
	maxSyncTime = 2 * time.Second
	// syncInterval is the time between two attempts to get them.
	syncInterval = 100 * time.Millisecond
	// maxMessageBytes limits a message: the reports of some thousand upstreams.
	maxMessageBytes = 4 << 20
)

// Limits holds what this entry knows of the limits.
type Limits interface {
	LimitReports() []sendlimit.Report
	MergeLimits(reports []sendlimit.Report)
	Limits() []sendlimit.Limit
}

// Config configures an exchange.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// Hosts returns the hosts of the system, Peers calls the entries among them.
	Hosts    func() []hosts.Host
	Peers    *peer.EntryClient
	Limits   Limits
	Registry prometheus.Registerer
}

// Exchange is an entry's side of the exchange. It is safe for concurrent use.
type Exchange struct {
	cfg    Config
	log    *logrus.Entry
	sends  *prometheus.CounterVec
	wake   chan struct{}
	synced atomic.Bool

	mu sync.Mutex
	// change counts the changes that this entry has to send.
	change uint64
	// peers are the other entries, by name.
	peers map[string]*peerState
}

// peerState is what another entry has been sent.
type peerState struct {
	// received is the latest change that it has confirmed, tries the number of calls for the
	// one after it.
	received uint64
	tries    int
}

// New returns an exchange.
func New(cfg Config) *Exchange {
	x := &Exchange{cfg: cfg, log: logging.For("limits"), wake: make(chan struct{}, 1), peers: make(map[string]*peerState)}
	x.sends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciaglade_limit_sends_total", Help: "Calls of other entries with limits of upstreams, by result.",
	}, []string{"result"})
	cfg.Registry.MustRegister(x.sends, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "acaciaglade_limited_upstreams", Help: "Upstreams that name a limit of requests per second.",
	}, func() float64 { return float64(len(cfg.Limits.Limits())) }))
	return x
}

// RecordChange makes the exchange send the reports to all other entries.
func (x *Exchange) RecordChange() {
	x.mu.Lock()
	x.change++
	for _, p := range x.peers {
		p.tries = 0
	}
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// IsSynced reports whether this entry knows what another one knew, or has waited long enough.
func (x *Exchange) IsSynced() bool { return x.synced.Load() }

// Run sends changes until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.runSync(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
		case <-time.After(sendInterval):
		}
		if x.sendDue(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(sendInterval):
			}
		}
	}
}

// runSync gets the reports of another entry once, at the start.
func (x *Exchange) runSync(ctx context.Context) {
	defer x.synced.Store(true)
	ctx, cancel := context.WithTimeout(ctx, maxSyncTime)
	defer cancel()
	for ctx.Err() == nil && !x.syncOnce(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(syncInterval):
		}
	}
}

// syncOnce asks all other entries for their reports. It reports whether one has answered,
// and doesn't wait for the others then.
func (x *Exchange) syncOnce(ctx context.Context) bool {
	others := x.others()
	answers := make(chan error, len(others))
	for _, address := range others {
		go func() { answers <- x.exchange(ctx, address, nil) }()
	}
	for range others {
		if <-answers == nil {
			return true
		}
	}
	return false
}

// others returns the addresses of the other entries by name.
func (x *Exchange) others() map[string]string {
	addresses := hosts.EntryAddresses(x.cfg.Hosts())
	delete(addresses, x.cfg.Entry)
	return addresses
}

// sendDue sends the reports to the entries that lack a change, and reports whether there were
// any.
func (x *Exchange) sendDue(ctx context.Context) bool {
	others := x.others()
	x.mu.Lock()
	change := x.change
	var due []string
	for name := range x.peers {
		if _, ok := others[name]; !ok {
			delete(x.peers, name)
		}
	}
	for name := range others {
		p, ok := x.peers[name]
		if !ok {
			p = &peerState{}
			x.peers[name] = p
		}
		if p.received < change && p.tries < maxSendTries {
			p.tries++
			due = append(due, name)
		}
	}
	x.mu.Unlock()
	if len(due) == 0 {
		return false
	}
	reports := x.cfg.Limits.LimitReports()
	var sends sync.WaitGroup
	for _, name := range due {
		sends.Go(func() {
			err := x.exchange(ctx, others[name], reports)
			x.mu.Lock()
			defer x.mu.Unlock()
			p, ok := x.peers[name]
			if ok && err == nil {
				p.received, p.tries = max(p.received, change), 0
			}
			if ok && err != nil && p.tries == 1 {
				x.log.WithError(err).WithField("entry", name).Info("limits not sent; they are sent again")
			}
		})
	}
	sends.Wait()
	return true
}

// exchange sends reports to an entry and merges those of its response.
func (x *Exchange) exchange(ctx context.Context, address string, reports []sendlimit.Report) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := x.cfg.Peers.ExchangeLimits(ctx, address, &peer.LimitExchange{Reports: reports})
	if err != nil {
		x.sends.WithLabelValues("failed").Inc()
		return err
	}
	x.sends.WithLabelValues("ok").Inc()
	x.cfg.Limits.MergeLimits(reply.Reports)
	return nil
}

// RegisterPeerRoutes adds the route that other entries call.
func (x *Exchange) RegisterPeerRoutes(group *echo.Group) {
	group.POST(peer.PathLimits, func(c echo.Context) error {
		var message peer.LimitExchange
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxMessageBytes)).Decode(&message); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		x.cfg.Limits.MergeLimits(message.Reports)
		return c.JSON(http.StatusOK, peer.LimitExchange{Reports: x.cfg.Limits.LimitReports()})
	})
}
