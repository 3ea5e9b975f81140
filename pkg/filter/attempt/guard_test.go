package attempt

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// fakeGuard admits requests until it is closed, and then refuses them.
type fakeGuard struct {
	mu     sync.Mutex
	closed bool
	passes []*fakePass
	// previous are the passes that were given to Admit.
	previous []Pass
}

type fakePass struct {
	ctx    context.Context
	revoke context.CancelFunc
	log    []string
}

func (g *fakeGuard) Admit(_ context.Context, _ *pipe.Request, previous Pass) (Pass, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.previous = append(g.previous, previous)
	if g.closed {
		return nil, problem.New(problem.ReasonPromptQuarantined, "").WithRetryAfter(time.Minute)
	}
	p := &fakePass{}
	p.ctx, p.revoke = context.WithCancel(context.Background())
	g.passes = append(g.passes, p)
	return p, nil
}

// close makes the guard refuse all requests.
func (g *fakeGuard) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, p := range g.passes {
		p.revoke()
	}
}

func (p *fakePass) Revoked() context.Context     { return p.ctx }
func (p *fakePass) RecordStart(u fleet.Upstream) { p.log = append(p.log, "start "+u.Address) }
func (p *fakePass) RecordPart()                  { p.log = append(p.log, "part") }
func (p *fakePass) RecordEnd(end End) {
	p.log = append(p.log, []string{"unsent", "other", "complete", "broken", "unreachable", "replaced"}[end])
	p.revoke()
}

// waitingFleet assigns an upstream after a time, and records the released tickets.
type waitingFleet struct {
	sequentialAgents
	wait     time.Duration
	released []problem.Reason
}

func (f *waitingFleet) Acquire(ctx context.Context, r scheduler.Request) (fleet.Upstream, error) {
	select {
	case <-time.After(f.wait):
		return f.sequentialAgents.Acquire(ctx, r)
	case <-ctx.Done():
		return fleet.Upstream{}, problem.New(problem.ReasonDeadlineExceeded, "")
	}
}

func (f *waitingFleet) Release(_ string, failure problem.Reason) {
	f.released = append(f.released, failure)
}

// brokenTransport breaks each attempt off before its first part, after a time.
type brokenTransport struct {
	slowTransport
	after time.Duration
}

func (t *brokenTransport) Open(*pipe.Request) Exchange { return t }

func (t *brokenTransport) Send(ctx context.Context, _ fleet.Upstream, _ int, _ Sink) Result {
	select {
	case <-time.After(t.after):
	case <-ctx.Done():
	}
	return Result{Event: retry.EventUnknown, Refusal: &api.Refusal{Reason: string(problem.ReasonUpstreamFailed)}}
}

// TestRevokedRequests closes the guard at different stages of a request: before it, while
// it waits for an upstream, while its attempt has not begun, before its retry, and once its
// response has begun. Only the last one goes on.
func TestRevokedRequests(t *testing.T) {
	for _, tc := range []struct {
		name       string
		transport  Transport
		idempotent bool
		wait       time.Duration
		closeAfter time.Duration
		ran        problem.Ran
		status     int
		log        []string
	}{
		{"before the request", &slowTransport{total: 2}, true, 0, 0, problem.RanNo, http.StatusServiceUnavailable, nil},
		{"waiting", &slowTransport{total: 2}, true, 2 * time.Second, time.Second, problem.RanNo, http.StatusServiceUnavailable, []string{"unsent"}},
		{"not begun", &brokenTransport{after: time.Minute}, true, 0, time.Second, problem.RanUnknown, http.StatusBadGateway, []string{"start a", "other"}},
		{"not begun, not idempotent", &brokenTransport{after: time.Minute}, false, 0, time.Second, problem.RanUnknown, http.StatusBadGateway, []string{"start a", "other"}},
		{"retry", &brokenTransport{after: time.Second}, true, 0, 900 * time.Millisecond, problem.RanUnknown, http.StatusBadGateway, []string{"start a", "other"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeGuard{}
				f := &waitingFleet{sequentialAgents: sequentialAgents{addresses: []string{"a", "b", "c"}}, wait: tc.wait}
				h := New(Config{SilenceTimeout: time.Hour, StatusQueryTimeout: time.Second, RetryRatio: 1, RetryBurst: 10, Guard: g}, f, tc.transport, prometheus.NewRegistry())
				if tc.closeAfter == 0 {
					g.close()
				} else {
					time.AfterFunc(tc.closeAfter, g.close)
				}
				err := h.Serve(t.Context(), &pipe.Request{
					ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
					Idempotent: tc.idempotent, Deadline: time.Now().Add(time.Hour), Reply: &fakeReply{},
				})
				var p *problem.Problem
				if !errors.As(err, &p) || p.Reason != problem.ReasonPromptQuarantined || p.Ran != tc.ran || p.Status != tc.status {
					t.Errorf("got %+v, want status %d, ran %s", err, tc.status, tc.ran)
				}
				var log []string
				for _, pass := range g.passes {
					log = append(log, pass.log...)
				}
				if !slices.Equal(log, tc.log) {
					t.Errorf("recorded %q, want %q", log, tc.log)
				}
			})
		})
	}
}

// TestRetryAfterBrokenAttemptIsAdmittedAgain checks that the guard gets to know which
// attempt broke off before it admits the next one.
func TestRetryAfterBrokenAttemptIsAdmittedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGuard{}
		f := &waitingFleet{sequentialAgents: sequentialAgents{addresses: []string{"a", "b"}}}
		h := New(Config{SilenceTimeout: time.Hour, StatusQueryTimeout: time.Second, RetryRatio: 1, RetryBurst: 10, Guard: g}, f, &brokenTransport{after: time.Second}, prometheus.NewRegistry())
		_ = h.Serve(t.Context(), &pipe.Request{
			ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
			Idempotent: true, MaxAttempts: 2, Deadline: time.Now().Add(time.Hour), Reply: &fakeReply{},
		})
		if len(g.passes) != 2 || g.previous[1] != Pass(g.passes[0]) || !slices.Equal(g.passes[0].log, []string{"start a", "broken"}) || !slices.Equal(g.passes[1].log, []string{"start b", "broken"}) {
			t.Errorf("%d passes, previous %v", len(g.passes), g.previous)
		}
	})
}

// TestCompleteResponseIsRecorded checks what the guard gets to know of a served request.
func TestCompleteResponseIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGuard{}
		f := &waitingFleet{sequentialAgents: sequentialAgents{addresses: []string{"a"}}}
		h := New(Config{SilenceTimeout: time.Hour, Guard: g}, f, &slowTransport{total: 2}, prometheus.NewRegistry())
		err := h.Serve(t.Context(), &pipe.Request{
			ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{}, Deadline: time.Now().Add(time.Hour), Reply: &fakeReply{relays: true},
		})
		if err != nil || len(g.passes) != 1 || !slices.Equal(g.passes[0].log, []string{"start a", "part", "part", "complete"}) {
			t.Errorf("error %v, passes %+v", err, g.passes)
		}
	})
}

// TestMoveIsAdmitted checks that a stream is not moved to an upstream that it would end.
func TestMoveIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGuard{}
		f := &movingFleet{sequentialAgents: sequentialAgents{addresses: []string{"a", "b"}}, moveRequested: make(chan struct{})}
		h := New(Config{SilenceTimeout: time.Minute, StatusQueryTimeout: time.Second, RetryRatio: 1, RetryBurst: 10, Guard: g},
			f, &slowTransport{total: 5}, prometheus.NewRegistry())
		time.AfterFunc(2500*time.Millisecond, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.closed = true
			close(f.moveRequested)
		})
		reply := &fakeReply{relays: true}
		err := h.Serve(t.Context(), &pipe.Request{
			ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
			Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: reply,
		})
		if err != nil || reply.body != "12345" || len(f.requests) != 1 || len(g.previous) != 2 {
			t.Errorf("error %v, body %q, %d upstreams acquired after %d admissions", err, reply.body, len(f.requests), len(g.previous))
		}
	})
}
