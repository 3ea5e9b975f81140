// Package queue is the filter that makes a request wait for an upstream, in the
// order that shares and priority give, before each of its attempts.
package queue

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
)

// Source hands out upstreams.
type Source interface {
	Acquire(ctx context.Context, r scheduler.Request) (fleet.Upstream, error)
	RecordStart(requestID string)
	// RecordPart records that a part of the answer has arrived.
	RecordPart(requestID string)
	// Release gives an upstream back. failure is why the attempt failed, empty
	// when it did not.
	Release(requestID string, failure problem.Reason)
}

// Ticket is an attempt's place in the queue.
type Ticket struct {
	// ID names the attempt towards the source.
	ID string
	// Priority is true for an attempt that goes on with an answer of which the caller has a
	// part: it goes before others, as the caller sees each pause.
	Priority bool
}

// Acquire waits for an upstream for an attempt of a request.
func Acquire(ctx context.Context, source Source, r *pipe.Request, place Ticket) (fleet.Upstream, error) {
	began := time.Now()
	defer func() { r.QueueTime += time.Since(began) }()
	return source.Acquire(ctx, scheduler.Request{
		ID:                place.ID,
		Service:           r.Service.Name,
		Organisation:      r.Organisation.Name,
		Weight:            r.Organisation.Weight,
		Priority:          r.Organisation.Priority || place.Priority,
		Cost:              r.ExpectedCost,
		Deadline:          r.Deadline,
		FirstPartDeadline: onTime(r),
		Prefix:            r.Prefix,
		TriedUpstreams:    r.TriedUpstreams,
	})
}

// onTime is when the first part of an answer must be there to be on time, zero where
// the route names no such time.
func onTime(r *pipe.Request) time.Time {
	if r.Route == nil || r.Route.LatencyObjective <= 0 {
		return time.Time{}
	}
	return r.ReceivedAt.Add(r.Route.LatencyObjective)
}

var _ Source = (*fleet.Fleet)(nil)
