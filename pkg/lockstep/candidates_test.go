package lockstep

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
)

// TestUnresponsiveCandidatesAreQueried guards against needless takeovers. A coordinator
// whose own host was paused has marked all other agents as unresponsive. Candidates detect
// the coordinator by its queries, so one that got none would take over although the
// coordinator has resumed.
func TestUnresponsiveCandidatesAreQueried(t *testing.T) {
	candidate := New(Config{Engine: fakeEngine{}})
	candidate.membership = Membership{Group: "g", Epoch: 1, Rank: 1, Ranks: 8}
	candidate.election = newElection(1, t0)
	e := echo.New()
	candidate.Register(e.Group(""))
	s := httptest.NewServer(e)
	defer s.Close()
	coordinator := New(Config{Engine: fakeEngine{}, HTTPClient: http.DefaultClient})
	address := strings.TrimPrefix(s.URL, "http://")
	for rank := 1; rank < 8; rank++ {
		coordinator.unresponsive.add(rank, time.Now())
	}
	q := &query{From: Membership{Group: "g", Epoch: 1, Rank: 0, Ranks: 8}}
	coordinator.forwardQuery(t.Context(), q, target{Rank: 1, Agent: address})
	if candidate.election.lastQuery[0].IsZero() {
		t.Error("a candidate that was marked as unresponsive is not queried, so it does not detect the coordinator")
	}
	if out := coordinator.forwardQuery(t.Context(), q, target{Rank: CoordinatorCandidates, Agent: address}); out.Status != nil {
		t.Error("an unresponsive rank that is no candidate was queried at once")
	}
}
