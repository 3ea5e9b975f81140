package lockstep

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
)

// TestSilentStandbysAreStillAsked has a coordinator find all other agents silent, as one
// does whose own host stood still. Standbys hear it by its questions: if it left them out,
// they would take its place while it is back.
func TestSilentStandbysAreStillAsked(t *testing.T) {
	standby := New(Config{Engine: ownRank{}})
	standby.place = Membership{Group: "g", Epoch: 1, Rank: 1, Ranks: 8}
	standby.election = newElection(1, t0)
	e := echo.New()
	standby.Register(e.Group(""))
	s := httptest.NewServer(e)
	defer s.Close()
	coordinator := New(Config{Engine: ownRank{}, HTTPClient: http.DefaultClient})
	address := strings.TrimPrefix(s.URL, "http://")
	for rank := 1; rank < 8; rank++ {
		coordinator.silent.mark(rank, time.Now())
	}
	q := &ask{From: Membership{Group: "g", Epoch: 1, Rank: 0, Ranks: 8}}
	coordinator.askOne(t.Context(), q, target{Rank: 1, Agent: address})
	if standby.election.heard[0].IsZero() {
		t.Error("a standby that was silent is not asked, so it hears no coordinator")
	}
	if out := coordinator.askOne(t.Context(), q, target{Rank: CoordinatorCandidates, Agent: address}); out.Reading != nil {
		t.Error("a silent rank that can't coordinate was asked at once")
	}
}
