package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
)

// ceilings holds the rates that this entry has leased, and the allocators of the
// ceilings for which it is the home entry, see package ceiling.
type ceilings struct {
	name      string
	client    *peer.EntryClient
	listHosts func() []hosts.Host
	// entryCount returns the number of entry hosts.
	entryCount func() int
	// others are further limits that entries share by leases.
	others []leaseHolder

	mu         sync.Mutex
	limiter    *ceiling.Limiter
	allocators *ceiling.Allocators
}

// leaseHolder holds limits that entries share by leases.
type leaseHolder interface {
	// LeaseRequests returns the requests to send to each home now.
	LeaseRequests(entries []string, now time.Time) ceiling.Batches
	// ApplyGrants applies a home's grants. Grants of other limits are ignored.
	ApplyGrants(grants ceiling.BatchResponse, now time.Time)
}

func newCeilings(name string, burst time.Duration, client *peer.EntryClient, listHosts func() []hosts.Host, entryCount func() int) *ceilings {
	return &ceilings{
		name:       name,
		client:     client,
		listHosts:  listHosts,
		entryCount: entryCount,
		limiter:    ceiling.NewLimiter(name, burst),
		allocators: ceiling.NewAllocators(uuid.NewString()),
	}
}

// Spend implements the ceiling filter's Spender.
func (c *ceilings) Spend(organisation string, limit, cost float64, now time.Time) (time.Duration, bool) {
	entries := c.entryCount()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Spend(organisation, limit, entries, cost, now)
}

// run requests leases from the home entries until ctx ends.
func (c *ceilings) run(ctx context.Context) {
	ticker := time.NewTicker(ceiling.RequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.requestLeases(ctx)
		}
	}
}

// requestLeases sends one request to each home entry and waits for the responses.
// The leases of a home that doesn't respond expire.
func (c *ceilings) requestLeases(ctx context.Context) {
	addresses := hosts.EntryAddresses(c.listHosts())
	names := make([]string, 0, len(addresses))
	for name := range addresses {
		names = append(names, name)
	}
	c.mu.Lock()
	requests := c.limiter.LeaseRequests(names, time.Now())
	c.mu.Unlock()
	for _, holder := range c.others {
		requests.Merge(holder.LeaseRequests(names, time.Now()))
	}
	var pending sync.WaitGroup
	defer pending.Wait()
	for home, r := range requests {
		if home == c.name {
			c.applyGrants(c.grantLeases(r))
			continue
		}
		pending.Go(func() { c.requestLeasesFrom(ctx, addresses[home], r) })
	}
}

func (c *ceilings) requestLeasesFrom(ctx context.Context, address string, r *ceiling.BatchRequest) {
	ctx, cancel := context.WithTimeout(ctx, ceiling.RequestInterval)
	defer cancel()
	if grants, err := c.client.RequestLeases(ctx, address, r); err == nil {
		c.applyGrants(grants)
	}
}

func (c *ceilings) applyGrants(grants ceiling.BatchResponse) {
	now := time.Now()
	c.mu.Lock()
	c.limiter.ApplyGrants(grants, now)
	c.mu.Unlock()
	for _, holder := range c.others {
		holder.ApplyGrants(grants, now)
	}
}

func (c *ceilings) grantLeases(r *ceiling.BatchRequest) ceiling.BatchResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allocators.Grant(r, time.Now())
}

// registerPeerRoutes adds the route that other entries call.
func (c *ceilings) registerPeerRoutes(g *echo.Group) {
	g.POST(peer.PathCeilings, func(ctx echo.Context) error {
		var r ceiling.BatchRequest
		if err := json.NewDecoder(ctx.Request().Body).Decode(&r); err != nil {
			return ctx.NoContent(http.StatusBadRequest)
		}
		return ctx.JSON(http.StatusOK, c.grantLeases(&r))
	})
}
