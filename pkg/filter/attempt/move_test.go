package attempt

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// movingFleet returns upstreams in order and requests a move while the first attempt runs.
type movingFleet struct {
	sequentialAgents
	requests      []scheduler.Request
	released      []string
	moveRequested chan struct{}
}

func (f *movingFleet) Acquire(ctx context.Context, r scheduler.Request) (fleet.Upstream, error) {
	f.requests = append(f.requests, r)
	u, err := f.sequentialAgents.Acquire(ctx, r)
	u.MoveRequested = f.moveRequested
	return u, err
}

func (f *movingFleet) Release(id string, failure problem.Reason) {
	f.released = append(f.released, id+" "+string(failure))
}

// slowTransport sends one stream event per second. A new attempt continues where the
// previous one was ended.
type slowTransport struct {
	sent  int
	total int
}

func (t *slowTransport) Open(*pipe.Request) Exchange { return t }

func (t *slowTransport) Send(ctx context.Context, _ fleet.Upstream, _ int, sink Sink) Result {
	if err := sink.SetHeader(http.StatusOK, nil); err != nil {
		return Result{Err: err}
	}
	for t.sent < t.total {
		select {
		case <-ctx.Done():
			return Result{Event: retry.EventUnknown}
		case <-time.After(time.Second):
		}
		t.sent++
		if err := sink.WriteData([]byte{byte('0' + t.sent)}); err != nil {
			return Result{Err: err}
		}
	}
	return Result{Event: retry.EventComplete}
}

func (t *slowTransport) Resume(context.Context, fleet.Upstream, Sink) Result {
	return Result{Event: retry.EventUnknown}
}

func (t *slowTransport) QueryStatus(context.Context, fleet.Upstream, int) Result {
	return Result{Event: retry.EventUnknown}
}
func (t *slowTransport) Fork() (Exchange, bool)                       { return nil, false }
func (t *slowTransport) Abandon(context.Context, fleet.Upstream, int) {}

// TestMovedResponseIsComplete moves a running response. Its caller gets every part once,
// and the first attempt is ended only after another upstream was acquired.
func TestMovedResponseIsComplete(t *testing.T) {
	for _, tc := range []struct {
		name       string
		others     []string
		idempotent bool
		attempts   int
		moveAfter  time.Duration
		released   []string
	}{
		{"moved", []string{"b"}, true, 2, 2500 * time.Millisecond, []string{"1 upstream_slow", "1/moved "}},
		{"no other upstream", nil, true, 2, 2500 * time.Millisecond, []string{"1 "}},
		{"not idempotent", []string{"b"}, false, 2, 2500 * time.Millisecond, []string{"1 "}},
		{"no attempt left", []string{"b"}, true, 1, 2500 * time.Millisecond, []string{"1 "}},
		{"requested after the end", []string{"b"}, true, 2, time.Minute, []string{"1 "}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &movingFleet{sequentialAgents: sequentialAgents{addresses: append([]string{"a"}, tc.others...)}, moveRequested: make(chan struct{})}
				h := New(Config{SilenceTimeout: time.Minute, StatusQueryTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
					f, &slowTransport{total: 5}, prometheus.NewRegistry())
				timer := time.AfterFunc(tc.moveAfter, func() { close(f.moveRequested) })
				defer timer.Stop()
				reply := &fakeReply{relays: true}
				err := h.Serve(t.Context(), &pipe.Request{
					ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
					Idempotent: tc.idempotent, MaxAttempts: tc.attempts, Deadline: time.Now().Add(time.Minute), Reply: reply,
				})
				if err != nil || reply.body != "12345" {
					t.Errorf("got %q and %v", reply.body, err)
				}
				if !slices.Equal(f.released, tc.released) {
					t.Errorf("released %q, want %q", f.released, tc.released)
				}
				if len(f.requests) > 1 && (!f.requests[1].Priority || !slices.Equal(f.requests[1].TriedUpstreams, []string{""})) {
					t.Errorf("acquired another upstream with %+v", f.requests[1])
				}
			})
		})
	}
}

// TestCallerGoneDuringMoveReleasesUpstreams guards against an upstream that stays reserved
// when the caller disconnects at the moment of the move: all acquired ones are released.
func TestCallerGoneDuringMoveReleasesUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &movingFleet{sequentialAgents: sequentialAgents{addresses: []string{"a", "b"}}, moveRequested: make(chan struct{})}
		h := New(Config{SilenceTimeout: time.Minute, StatusQueryTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
			f, &slowTransport{total: 5}, prometheus.NewRegistry())
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(2500*time.Millisecond, func() {
			close(f.moveRequested)
			cancel()
		})
		if err := h.Serve(ctx, &pipe.Request{
			ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
			Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: &fakeReply{relays: true},
		}); err == nil {
			t.Error("no error although the caller has gone")
		}
		if len(f.released) != len(f.requests) {
			t.Errorf("released %q after %d were acquired", f.released, len(f.requests))
		}
	})
}
