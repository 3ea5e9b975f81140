package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Accounts is what the operators see of requests.
type Accounts interface {
	// Accounts returns what organisations asked for and got, at this entry or
	// over the fleet.
	Accounts(ctx context.Context, q accounting.Query, fleet bool) AccountsReport
	// Decisions returns the decisions about a request, at all hosts that can be
	// reached.
	Decisions(ctx context.Context, requestID string) DecisionsReport
}

// AccountsReport is what organisations asked for and got since each entry
// started.
type AccountsReport struct {
	// Entries is the entries that the accounts are from.
	Entries []string `json:"entries"`
	// Unreachable is the entries that gave no answer, so that their part is
	// missing.
	Unreachable []string             `json:"unreachable,omitempty"`
	Accounts    []accounting.Account `json:"accounts"`
}

// DecisionsReport is the decisions about one request.
type DecisionsReport struct {
	RequestID string `json:"request_id"`
	// Unreachable is the hosts that gave no answer.
	Unreachable []string               `json:"unreachable,omitempty"`
	Decisions   []decisionlog.Decision `json:"decisions"`
}

// defaultAccounts is how many accounts are returned when no limit is given.
const defaultAccounts = 50

func (a *API) registerAccounts(g *echo.Group) {
	g.GET("/accounting", a.accounting)
	g.GET("/decisions/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, a.cfg.Accounts.Decisions(c.Request().Context(), c.Param("id")))
	})
}

func (a *API) accounting(c echo.Context) error {
	q, refusal := ParseQuery(c)
	if refusal != nil {
		return WriteProblem(c, refusal)
	}
	fleet := c.QueryParam("scope") != "entry"
	return c.JSON(http.StatusOK, a.cfg.Accounts.Accounts(c.Request().Context(), q, fleet))
}

// ParseQuery reads the choice of accounts from a request.
func ParseQuery(c echo.Context) (accounting.Query, *problem.Problem) {
	q := accounting.Query{Organisation: c.QueryParam("organisation"), Limit: defaultAccounts}
	if raw := c.QueryParam("limit"); raw != "" {
		limit, err := strconv.Atoi(raw)
		if err != nil || limit < 0 {
			return q, problem.New(problem.ReasonBadRequest, "the limit is a whole number of at least 0")
		}
		q.Limit = limit
	}
	return q, nil
}
