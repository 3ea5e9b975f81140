package agent

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
)

// maxDecisions is the number of decisions that an agent keeps.
const maxDecisions = 5000

// recordAdmission remembers what was decided on an attempt.
func (a *Agent) recordAdmission(req *api.AttemptRequest, d *admission.Decision, attached bool) {
	what, why := "admit the attempt", ""
	switch {
	case d.Refusal != nil:
		what, why = "refuse the attempt, outcome "+string(d.Outcome), d.Refusal.Reason
	case attached && d.Attach:
		what, why = "give the running attempt's answer", "the request was seen before"
	}
	a.decisions.Add(decisionlog.Decision{
		RequestID: req.RequestID, At: time.Now(), Action: what, Reason: why, Upstream: a.cfg.Upstream,
	})
}

// recordWithdrawal remembers what was answered about an attempt.
func (a *Agent) recordWithdrawal(id string, outcome api.Outcome) {
	a.decisions.Add(decisionlog.Decision{
		RequestID: id, At: time.Now(), Action: "answer a question about the attempt: " + string(outcome), Upstream: a.cfg.Upstream,
	})
}

func (a *Agent) registerDecisions(g *echo.Group) {
	g.GET(peer.PathDecisions+"/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, a.decisions.ForRequest(c.Param("id")))
	})
}
