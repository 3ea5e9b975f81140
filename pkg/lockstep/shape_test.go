package lockstep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// fakeEngine is the engine of rank 0 of a group. It carries out no orders.
type fakeEngine struct{}

func (fakeEngine) Status(context.Context) (RankStatus, error) {
	return RankStatus{Membership: Membership{Group: "g", Epoch: 1, Rank: 0, Ranks: 2}, State: holdswitch.State{Epoch: 1}}, nil
}
func (fakeEngine) Counts(context.Context) (Counts, error)           { return Counts{}, nil }
func (fakeEngine) HeldExperts(context.Context) (HeldExperts, error) { return HeldExperts{}, nil }
func (fakeEngine) SendOrder(context.Context, holdswitch.Order) holdswitch.Result {
	return holdswitch.Result{}
}

// slowShapeReader fails the first reads, and then returns the shape after a delay, like
// a large configuration over a slow link.
type slowShapeReader struct {
	delay    time.Duration
	failures int
}

func (s *slowShapeReader) ModelShape(ctx context.Context) (ModelShape, error) {
	if s.failures > 0 {
		s.failures--
		return ModelShape{}, errors.New("no response")
	}
	select {
	case <-ctx.Done():
		return ModelShape{}, ctx.Err()
	case <-time.After(s.delay):
		return ModelShape{Layers: 1, Experts: 2, Slots: 2}, nil
	}
}

type noMembers struct{}

func (noMembers) Members(context.Context, string) ([]Member, error) {
	return nil, errors.New("not needed")
}

// TestCoordinatesWithSlowShapeReads guards against a group that keeps its first map because
// it has no coordinator. The configuration with the model's shape takes longer to read than
// an engine takes to respond, and the first reads fail; the agent must still coordinate.
func TestCoordinatesWithSlowShapeReads(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, callTimeout, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			a := New(Config{Engine: fakeEngine{}, ShapeReader: &slowShapeReader{delay: delay, failures: 2}, MemberLister: noMembers{}})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				a.Run(ctx)
			}()
			time.Sleep(delay + time.Second)
			cancel()
			<-ended
			if a.coordination == nil {
				t.Errorf("the agent does not coordinate if reading the shape takes %v", delay)
			}
		})
	}
}
