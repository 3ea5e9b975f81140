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

// recordAdmission adds the decision on an attempt to the decision log.
func (a *Agent) recordAdmission(req *api.AttemptRequest, d *admission.Decision, attached bool) {
	action, reason := "admit the attempt", ""
	switch {
	case d.Refusal != nil:
		action, reason = "refuse the attempt, outcome "+string(d.Outcome), d.Refusal.Reason
	case attached && d.Attach:
		action, reason = "give the running attempt's answer", "the request was seen before"
	}
	a.decisions.Add(decisionlog.Decision{
		RequestID: req.RequestID, At: time.Now(), Action: action, Reason: reason, Upstream: a.cfg.Upstream,
	})
}

// recordWithdrawal adds the response to a withdraw request to the decision log.
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
