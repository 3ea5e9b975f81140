package lockstep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// endlessEngine is an engine whose responses never end.
type endlessEngine struct{ fakeEngine }

func (endlessEngine) Status(ctx context.Context) (RankStatus, error) {
	<-ctx.Done()
	return RankStatus{}, ctx.Err()
}

// endlessLists is an engine whose counts and lists of experts never end.
type endlessLists struct{ fakeEngine }

func (endlessLists) Counts(ctx context.Context) (Counts, error) {
	<-ctx.Done()
	return Counts{}, ctx.Err()
}

func (endlessLists) HeldExperts(ctx context.Context) (HeldExperts, error) {
	<-ctx.Done()
	return HeldExperts{}, ctx.Err()
}

// TestEndlessResponsesOfTheOwnRankEnd guards against a coordinator that waits for good for what it
// reads from its own rank, while the group stands still at the pass that it holds.
func TestEndlessResponsesOfTheOwnRankEnd(t *testing.T) {
	for name, engine := range map[string]Engine{"report": endlessEngine{}, "lists": endlessLists{}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Config{Engine: engine})
				// The context of a process ends with it.
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				begin := time.Now()
				a.queryOwnRank(ctx, &query{Picks: true, Held: true})
				if took := time.Since(begin); took > 10*time.Second {
					t.Errorf("the query took %v", took)
				}
			})
		})
	}
}
