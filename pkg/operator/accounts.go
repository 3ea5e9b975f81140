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

// Accounts provides the accounts of organisations and the decisions about requests.
type Accounts interface {
	// Accounts returns the organisations' accounts of this entry, or the merged
	// accounts of all entries.
	Accounts(ctx context.Context, q accounting.Query, allEntries bool) AccountsReport
	// Decisions returns the decisions about a request at all reachable hosts.
	Decisions(ctx context.Context, requestID string) DecisionsReport
}

// AccountsReport holds the organisations' accounts since each entry started.
type AccountsReport struct {
	// Entries lists the entries whose accounts are included.
	Entries []string `json:"entries"`
	// Unreachable lists the entries that did not respond, whose accounts are missing.
	Unreachable []string             `json:"unreachable,omitempty"`
	Accounts    []accounting.Account `json:"accounts"`
}

// DecisionsReport holds the decisions about one request.
type DecisionsReport struct {
	RequestID string `json:"request_id"`
	// Unreachable lists the hosts that did not respond.
	Unreachable []string               `json:"unreachable,omitempty"`
	Decisions   []decisionlog.Decision `json:"decisions"`
}

// defaultAccountLimit is the number of accounts that are returned if the request sets no
// limit.
const defaultAccountLimit = 50

func (a *API) registerAccounts(g *echo.Group) {
	g.GET("/accounting", a.getAccounts)
	g.GET("/decisions/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, a.cfg.Accounts.Decisions(c.Request().Context(), c.Param("id")))
	})
}

func (a *API) getAccounts(c echo.Context) error {
	q, refusal := ParseQuery(c)
	if refusal != nil {
		return WriteProblem(c, refusal)
	}
	allEntries := c.QueryParam("scope") != "entry"
	return c.JSON(http.StatusOK, a.cfg.Accounts.Accounts(c.Request().Context(), q, allEntries))
}

// ParseQuery parses the query for accounts from a request's parameters.
func ParseQuery(c echo.Context) (accounting.Query, *problem.Problem) {
	q := accounting.Query{Organisation: c.QueryParam("organisation"), Limit: defaultAccountLimit}
	if raw := c.QueryParam("limit"); raw != "" {
		limit, err := strconv.Atoi(raw)
		if err != nil || limit < 0 {
			return q, problem.New(problem.ReasonBadRequest, "the limit is a whole number of at least 0")
		}
		q.Limit = limit
	}
	return q, nil
}
