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

// outTimeout is how long an order to take something out waits for the
// platform's store, after it is in force at this entry.
const outTimeout = 2 * time.Second

// MarkResult is the answer to an order that was accepted.
type MarkResult struct {
	// Provisional is true while the mark is in force but not in the table. It is
	// written once the platform's store answers.
	Provisional bool `json:"provisional"`
	// Version is the table's version that has the mark, or the one in force
	// while the mark is provisional.
	Version uint64 `json:"version"`
	// Remedy says what to do about a provisional mark.
	Remedy string `json:"remedy,omitempty"`
}

// provisionalRemedy is what operators are told of a provisional mark.
const provisionalRemedy = "The mark is in force at every host that can be reached, and is written into the table once the platform's store answers; see status."

func (a *API) markFailureDomain(c echo.Context) error {
	name := c.Param("name")
	if ix := a.index(); ix != nil && !hasFailureDomain(ix.Table(), name) {
		return WriteProblem(c, problem.New(problem.ReasonUnknownRow, "no failure domain "+name))
	}
	return a.mark(c, api.ProvisionalMark{FailureDomain: name}, func(d *tablestore.Draft) error {
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
	if faults := table.CheckName("upstreams", name); faults != nil {
		return WriteProblem(c, problem.New(problem.ReasonBadRequest, faults.Error()))
	}
	return a.mark(c, api.ProvisionalMark{Upstream: name}, func(d *tablestore.Draft) error {
		d.SetUpstreamOut(name, false)
		return nil
	})
}

// mark takes something out of service or in. in is the edit of the table that
// takes it in.
func (a *API) mark(c echo.Context, m api.ProvisionalMark, in tablestore.Edit) error {
	switch c.Param("mark") {
	case "out":
		return a.takeOut(c, m)
	case "in":
		return a.takeIn(c, in)
	default:
		return WriteProblem(c, problem.New(problem.ReasonNotFound, "the mark is out or in"))
	}
}

// takeOut brings the mark in force at once, and then waits a time for it to be
// written.
func (a *API) takeOut(c echo.Context, m api.ProvisionalMark) error {
	a.store.TakeOutOfService(m)
	ctx, cancel := context.WithTimeout(c.Request().Context(), outTimeout)
	defer cancel()
	accepted, err := a.store.SettleMarks(ctx)
	if err != nil {
		result := MarkResult{Provisional: true, Version: a.store.Marks().Version, Remedy: provisionalRemedy}
		return c.JSON(http.StatusAccepted, result)
	}
	return c.JSON(http.StatusOK, MarkResult{Version: accepted.Version})
}

func (a *API) takeIn(c echo.Context, in tablestore.Edit) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	accepted, err := a.store.ReturnToService(ctx, in)
	if err != nil {
		return refuseChange(c, err)
	}
	return c.JSON(http.StatusOK, MarkResult{Version: accepted.Version})
}
