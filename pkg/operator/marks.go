package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablestore"
)

// settleTimeout is how long a request to take something out of service waits until the
// mark, which applies at this entry at once, is written to the platform's store.
const settleTimeout = 2 * time.Second

// MarkResult is the response to an accepted mark.
type MarkResult struct {
	// Provisional is true while the mark applies but is not in the table yet. It is
	// written once the platform's store responds.
	Provisional bool `json:"provisional"`
	// Version is the version of the table that contains the mark, or the current
	// version while the mark is provisional.
	Version uint64 `json:"version"`
	// Remedy explains a provisional mark to the operator.
	Remedy string `json:"remedy,omitempty"`
}

// provisionalRemedy is the MarkResult.Remedy of a provisional mark.
const provisionalRemedy = "The mark is in force at every host that can be reached, and is written into the table once the platform's store answers; see status."

func (a *API) markFailureDomain(c echo.Context) error {
	name := c.Param("name")
	if ix := a.index(); ix != nil && !hasFailureDomain(ix.Table(), name) {
		return WriteProblem(c, problem.New(problem.ReasonUnknownRow, "no failure domain "+name))
	}
	return a.applyMark(c, api.ProvisionalMark{FailureDomain: name}, func(d *tablestore.Draft) error {
		if !d.SetFailureDomainOut(name, false) {
			return problem.New(problem.ReasonUnknownRow, "no failure domain "+name)
		}
		return nil
	})
}

func hasFailureDomain(t *table.Table, name string) bool {
	return slices.ContainsFunc(t.FailureDomains, func(d table.FailureDomain) bool { return d.Name == name })
}

func (a *API) markUpstream(c echo.Context) error {
	name := c.Param("name")
	if cellErrors := table.CheckName("upstreams", name); cellErrors != nil {
		return WriteProblem(c, problem.New(problem.ReasonBadRequest, cellErrors.Error()))
	}
	return a.applyMark(c, api.ProvisionalMark{Upstream: name}, func(d *tablestore.Draft) error {
		d.SetUpstreamOut(name, false)
		return nil
	})
}

// applyMark takes something out of service or returns it to service. clearMark is the edit
// of the table that returns it.
func (a *API) applyMark(c echo.Context, m api.ProvisionalMark, clearMark tablestore.Edit) error {
	switch c.Param("mark") {
	case "out":
		return a.takeOutOfService(c, m)
	case "in":
		return a.returnToService(c, clearMark)
	default:
		return WriteProblem(c, problem.New(problem.ReasonNotFound, "the mark is out or in"))
	}
}

// takeOutOfService applies the mark at once, and waits up to settleTimeout until it is
// written.
func (a *API) takeOutOfService(c echo.Context, m api.ProvisionalMark) error {
	a.store.TakeOutOfService(m)
	ctx, cancel := context.WithTimeout(c.Request().Context(), settleTimeout)
	defer cancel()
	accepted, err := a.store.SettleMarks(ctx)
	if err != nil {
		result := MarkResult{Provisional: true, Version: a.store.Marks().Version, Remedy: provisionalRemedy}
		return c.JSON(http.StatusAccepted, result)
	}
	return c.JSON(http.StatusOK, MarkResult{Version: accepted.Version})
}

func (a *API) returnToService(c echo.Context, clearMark tablestore.Edit) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	accepted, err := a.store.ReturnToService(ctx, clearMark)
	if err != nil {
		return writeChangeRefusal(c, err)
	}
	return c.JSON(http.StatusOK, MarkResult{Version: accepted.Version})
}
