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

// movingFleet grants upstreams in turn. The first attempt is asked to move after a while.
type movingFleet struct {
	agentsInTurn
	asked    []scheduler.Request
	released []string
	move     chan struct{}
}

func (f *movingFleet) Acquire(ctx context.Context, r scheduler.Request) (fleet.Upstream, error) {
	f.asked = append(f.asked, r)
	u, err := f.agentsInTurn.Acquire(ctx, r)
	u.MoveRequested = f.move
	return u, err
}

func (f *movingFleet) Release(id string, failure problem.Reason) {
	f.released = append(f.released, id+" "+string(failure))
}

// slowLink sends an event of a stream each second, and goes on where an attempt was ended.
type slowLink struct {
	sent  int
	total int
}

func (l *slowLink) Open(*pipe.Request) Exchange { return l }

func (l *slowLink) Send(ctx context.Context, _ fleet.Upstream, _ int, sink Sink) Result {
	if err := sink.SetHeader(http.StatusOK, nil); err != nil {
		return Result{Err: err}
	}
	for l.sent < l.total {
		select {
		case <-ctx.Done():
			return Result{Event: retry.EventUnknown}
		case <-time.After(time.Second):
		}
		l.sent++
		if err := sink.WriteData([]byte{byte('0' + l.sent)}); err != nil {
			return Result{Err: err}
		}
	}
	return Result{Event: retry.EventComplete}
}

func (l *slowLink) Resume(context.Context, fleet.Upstream, Sink) Result {
	return Result{Event: retry.EventUnknown}
}

func (l *slowLink) QueryStatus(context.Context, fleet.Upstream, int) Result {
	return Result{Event: retry.EventUnknown}
}
func (l *slowLink) Abandon(context.Context, fleet.Upstream, int) {}

// TestAMovedAnswerIsWhole moves a running answer. Its caller gets every part once, and the
// first upstream is left only once another one was acquired.
func TestAMovedAnswerIsWhole(t *testing.T) {
	for _, tc := range []struct {
		name       string
		others     []string
		idempotent bool
		attempts   int
		moveAfter  time.Duration
		released   []string
	}{
		{"moved", []string{"b"}, true, 2, 2500 * time.Millisecond, []string{"r upstream_slow", "r/moved "}},
		{"no other upstream", nil, true, 2, 2500 * time.Millisecond, []string{"r "}},
		{"not idempotent", []string{"b"}, false, 2, 2500 * time.Millisecond, []string{"r "}},
		{"no attempt left", []string{"b"}, true, 1, 2500 * time.Millisecond, []string{"r "}},
		{"asked after the end", []string{"b"}, true, 2, time.Minute, []string{"r "}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &movingFleet{agentsInTurn: agentsInTurn{addresses: append([]string{"a"}, tc.others...)}, move: make(chan struct{})}
				h := New(Config{SilenceTimeout: time.Minute, AskTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
					f, &slowLink{total: 5}, prometheus.NewRegistry())
				asked := time.AfterFunc(tc.moveAfter, func() { close(f.move) })
				defer asked.Stop()
				reply := &heldReply{relays: true}
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
				if len(f.asked) > 1 && (!f.asked[1].Priority || !slices.Equal(f.asked[1].TriedUpstreams, []string{""})) {
					t.Errorf("asked for another upstream by %+v", f.asked[1])
				}
			})
		})
	}
}

// TestACallerWhoLeavesDuringAMove gives both upstreams back.
func TestACallerWhoLeavesDuringAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &movingFleet{agentsInTurn: agentsInTurn{addresses: []string{"a", "b"}}, move: make(chan struct{})}
		h := New(Config{SilenceTimeout: time.Minute, AskTimeout: time.Second, RetryRatio: 0.1, RetryBurst: 10},
			f, &slowLink{total: 5}, prometheus.NewRegistry())
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(2500*time.Millisecond, func() {
			close(f.move)
			leave()
		})
		if err := h.Serve(ctx, &pipe.Request{
			ID: "r", Organisation: &table.Organisation{}, Service: &table.Service{},
			Idempotent: true, Deadline: time.Now().Add(time.Minute), Reply: &heldReply{relays: true},
		}); err == nil {
			t.Error("served a caller who had left")
		}
		if len(f.released) != len(f.asked) {
			t.Errorf("released %q after %d were granted", f.released, len(f.asked))
		}
	})
}
