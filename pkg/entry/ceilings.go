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

// ceilings holds this entry's parts of the ceilings, and the books that it keeps
// for all entries.
type ceilings struct {
	name   string
	client *peer.EntryClient
	hosts  func() []hosts.Host
	// count returns the number of entry hosts.
	count func() int

	mu    sync.Mutex
	parts *ceiling.Limiter
	homes *ceiling.Allocators
}

func newCeilings(name string, burst time.Duration, client *peer.EntryClient, list func() []hosts.Host, count func() int) *ceilings {
	return &ceilings{
		name:   name,
		client: client,
		hosts:  list,
		count:  count,
		parts:  ceiling.NewLimiter(name, burst),
		homes:  ceiling.NewAllocators(uuid.NewString()),
	}
}

// Spend implements the ceiling filter's Spender.
func (c *ceilings) Spend(organisation string, limit, cost float64, now time.Time) (time.Duration, bool) {
	entries := c.count()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.Spend(organisation, limit, entries, cost, now)
}

// entries returns the addresses of the entry hosts by name.
func (c *ceilings) entries() map[string]string {
	addresses := make(map[string]string)
	for _, h := range c.hosts() {
		if h.Role == hosts.RoleEntry {
			addresses[h.Name] = h.Address
		}
	}
	return addresses
}

// run asks the homes for parts until ctx ends.
func (c *ceilings) run(ctx context.Context) {
	ticker := time.NewTicker(ceiling.RequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.ask(ctx)
		}
	}
}

// ask asks every home once and waits for the answers. A home that doesn't answer
// leaves the parts to lapse.
func (c *ceilings) ask(ctx context.Context) {
	addresses := c.entries()
	names := make([]string, 0, len(addresses))
	for name := range addresses {
		names = append(names, name)
	}
	c.mu.Lock()
	questions := c.parts.LeaseRequests(names, time.Now())
	c.mu.Unlock()
	var asked sync.WaitGroup
	defer asked.Wait()
	for home, q := range questions {
		if home == c.name {
			c.take(c.answer(q))
			continue
		}
		asked.Go(func() { c.askHome(ctx, addresses[home], q) })
	}
}

func (c *ceilings) askHome(ctx context.Context, address string, q *ceiling.BatchRequest) {
	ctx, cancel := context.WithTimeout(ctx, ceiling.RequestInterval)
	defer cancel()
	if answer, err := c.client.RequestLeases(ctx, address, q); err == nil {
		c.take(answer)
	}
}

func (c *ceilings) take(a ceiling.BatchResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts.ApplyGrants(a, time.Now())
}

func (c *ceilings) answer(q *ceiling.BatchRequest) ceiling.BatchResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.homes.Grant(q, time.Now())
}

// registerPeer adds the route that other entries ask.
func (c *ceilings) registerPeer(g *echo.Group) {
	g.POST(peer.PathCeilings, func(ctx echo.Context) error {
		var q ceiling.BatchRequest
		if err := json.NewDecoder(ctx.Request().Body).Decode(&q); err != nil {
			return ctx.NoContent(http.StatusBadRequest)
		}
		return ctx.JSON(http.StatusOK, c.answer(&q))
	})
}
