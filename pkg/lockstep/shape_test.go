package lockstep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// ownRank is the engine of the lowest rank of a group.
type ownRank struct{}

func (ownRank) Status(context.Context) (RankStatus, error) {
	return RankStatus{Place: Membership{Group: "g", Epoch: 1, Rank: 0, Ranks: 2}, State: holdswitch.State{Epoch: 1}}, nil
}
func (ownRank) Counts(context.Context) (Counts, error)           { return Counts{}, nil }
func (ownRank) HeldExperts(context.Context) (HeldExperts, error) { return HeldExperts{}, nil }
func (ownRank) SendOrder(context.Context, holdswitch.Order) holdswitch.Result {
	return holdswitch.Result{}
}

// slowShapes tells the shape after a time, as of a large configuration over a slow
// link, and fails the first tries.
type slowShapes struct {
	takes    time.Duration
	failures int
}

func (s *slowShapes) ModelShape(ctx context.Context) (ModelShape, error) {
	if s.failures > 0 {
		s.failures--
		return ModelShape{}, errors.New("no answer")
	}
	select {
	case <-ctx.Done():
		return ModelShape{}, ctx.Err()
	case <-time.After(s.takes):
		return ModelShape{Layers: 1, Experts: 2, Slots: 2}, nil
	}
}

type noMembers struct{}

func (noMembers) Members(context.Context, string) ([]Member, error) {
	return nil, errors.New("not needed")
}

// TestLargeConfigurationOverASlowLink starts an agent whose configuration takes longer
// to arrive than an engine takes to answer, after tries that failed: it coordinates all
// the same. A group without a coordinator keeps its first map.
func TestLargeConfigurationOverASlowLink(t *testing.T) {
	for _, takes := range []time.Duration{10 * time.Millisecond, callTimeout, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			a := New(Config{Engine: ownRank{}, ShapeReader: &slowShapes{takes: takes, failures: 2}, MemberLister: noMembers{}})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				a.Run(ctx)
			}()
			time.Sleep(takes + time.Second)
			cancel()
			<-ended
			if a.run == nil {
				t.Errorf("with a configuration that takes %v the agent does not coordinate", takes)
			}
		})
	}
}
