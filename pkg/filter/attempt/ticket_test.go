package attempt

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// ticketFleet records the tickets that wait for an upstream, and refuses them when their
// requests end.
type ticketFleet struct {
	sequentialAgents
	mu      sync.Mutex
	tickets []string
}

func (f *ticketFleet) Acquire(ctx context.Context, r scheduler.Request) (fleet.Upstream, error) {
	f.mu.Lock()
	f.tickets = append(f.tickets, r.ID)
	f.mu.Unlock()
	<-ctx.Done()
	return fleet.Upstream{}, ctx.Err()
}

// TestRequestsWithEqualIDsHaveTheirOwnTickets guards against a caller that takes the place of
// another request at the fleet by sending its ID.
func TestRequestsWithEqualIDsHaveTheirOwnTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 20
		f := &ticketFleet{}
		h := New(Config{SilenceTimeout: time.Minute, StatusQueryTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10}, f, &slowTransport{}, prometheus.NewRegistry())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var pending sync.WaitGroup
		for range requests {
			pending.Go(func() {
				_ = h.Serve(ctx, &pipe.Request{
					ID: "same", Organisation: &table.Organisation{}, Service: &table.Service{}, Deadline: time.Now().Add(time.Minute), Reply: &fakeReply{},
				})
			})
		}
		pending.Wait()
		slices.Sort(f.tickets)
		if n := len(slices.Compact(f.tickets)); n != requests {
			t.Errorf("%d requests had %d tickets", requests, n)
		}
	})
}
