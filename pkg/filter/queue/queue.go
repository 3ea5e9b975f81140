// Package queue makes a request wait for an upstream before each of its attempts, in
// the order given by priority and shares.
package queue

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
)

// Source assigns upstreams to attempts. Its methods identify an attempt by the ID of its
// ticket.
type Source interface {
	// Acquire waits until an upstream is assigned to an attempt.
	Acquire(ctx context.Context, r scheduler.Request) (fleet.Upstream, error)
	// RecordStart records that the response has started.
	RecordStart(ticketID string)
	// RecordPart records that a part of the response has arrived.
	RecordPart(ticketID string)
	// Release releases an upstream. failure is why the attempt failed, or empty.
	Release(ticketID string, failure problem.Reason)
}

// Ticket identifies an attempt in the queue.
type Ticket struct {
	// ID identifies the attempt at the source.
	ID string
	// Priority is true for an attempt that continues a partly relayed response. It goes
	// before others, as its caller notices each pause.
	Priority bool
	// Hedge is true for a second attempt beside one that is silent.
	Hedge bool
}

// Acquire waits for an upstream for an attempt of a request.
func Acquire(ctx context.Context, source Source, r *pipe.Request, ticket Ticket) (fleet.Upstream, error) {
	startedAt := time.Now()
	defer func() { r.QueueTime += time.Since(startedAt) }()
	return source.Acquire(ctx, scheduler.Request{
		ID:                ticket.ID,
		Service:           r.Service.Name,
		Organisation:      r.Organisation.Name,
		Weight:            r.Organisation.Weight,
		Priority:          r.Organisation.Priority || ticket.Priority,
		Hedge:             ticket.Hedge,
		Cost:              r.ExpectedCost,
		Deadline:          r.Deadline,
		FirstPartDeadline: firstPartDeadline(r),
		Prefix:            r.Prefix,
		TriedUpstreams:    r.TriedUpstreams,
	})
}

// firstPartDeadline returns when the first part of the response must arrive to be on time,
// zero if the route has no latency objective.
func firstPartDeadline(r *pipe.Request) time.Time {
	if r.Route == nil || r.Route.LatencyObjective <= 0 {
		return time.Time{}
	}
	return r.ReceivedAt.Add(r.Route.LatencyObjective)
}

var _ Source = (*fleet.Fleet)(nil)
