// Package operator implements the operators' HTTP API, its client and the operators'
// page: the table with its versions, the marks that take failure domains and upstreams
// out of service, the status of all hosts, the organisations' accounts, and the decisions
// about a request.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/statement"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablestore"
)

// Fleet provides the upstreams and the host list of an entry.
type Fleet interface {
	Candidates(service string) []selection.Candidate
	Hosts() []hosts.Host
}

// Config holds the settings of the operators' API.
type Config struct {
	// Token is the operators' bearer token. If it is empty, all requests are refused.
	Token string
	// Entry is the name of this entry.
	Entry string
	// Accounts provides the organisations' accounts and the decisions about requests.
	Accounts Accounts
	// Directory holds the current table if the platform provides a part of it. If it
	// is nil, the table is the store's.
	Directory Directory
	// Quarantine provides the parts of prompts that are kept from upstreams. It may be nil.
	Quarantine Quarantine
	// Limits provides the limits that upstreams name. It may be nil.
	Limits Limits
	// UpstreamStates provides the states of the upstreams that get no or few requests because
	// they are leaving or want none. It may be nil.
	UpstreamStates UpstreamStates
	// StoreHistory provides the history of the platform's store. It may be nil.
	StoreHistory StoreHistory
}

// UpstreamStates holds what upstreams have stated about themselves.
type UpstreamStates interface {
	UpstreamStates() []statement.State
}

// Directory holds the current table.
type Directory interface {
	// Index returns the current table, nil before the first one was read, and the time
	// since it was last confirmed to be the newest.
	Index() (*table.Index, time.Duration)
}

// API is the operators' API.
type API struct {
	cfg     Config
	store   *tablestore.Store
	fleet   Fleet
	entries Entries
	agents  Agents

	mu      sync.Mutex
	reports map[string]hostReport
}

// New returns the operators' API.
func New(cfg Config, store *tablestore.Store, fleet Fleet, entries Entries, agents Agents) *API {
	return &API{cfg: cfg, store: store, fleet: fleet, entries: entries, agents: agents, reports: make(map[string]hostReport)}
}

// Register adds the API's routes to an HTTP server.
func (a *API) Register(e *echo.Echo) {
	registerPage(e)
	g := e.Group("/operator/v1", a.authorise, unescapeParams)
	g.GET("/table", a.getTable)
	g.PUT("/table", a.putTable)
	g.PATCH("/organisations/:name", a.patchOrganisation)
	g.DELETE("/organisations/:name", a.deleteOrganisation)
	g.PUT("/failure-domains/:name/:mark", a.markFailureDomain)
	g.PUT("/upstreams/:name/:mark", a.markUpstream)
	g.GET("/status", a.getStatus)
	g.GET("/limits", a.getLimits)
	g.GET("/store", a.getStoreHistory)
	g.GET("/quarantine", a.getQuarantine)
	g.DELETE("/quarantine/:service/:part", a.releasePart)
	a.registerAccounts(g)
}

func (a *API) authorise(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		got := pipe.BearerToken(c.Request().Header)
		if a.cfg.Token == "" || subtle.ConstantTimeCompare([]byte(got), []byte(a.cfg.Token)) != 1 {
			return WriteProblem(c, problem.New(problem.ReasonOperatorUnauthorised, ""))
		}
		return next(c)
	}
}

// unescapeParams decodes the parameters of a path. The router leaves them encoded if the path has
// encoded characters that need not be, or a slash within a name.
func unescapeParams(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Request().URL.RawPath == "" {
			return next(c)
		}
		values := slices.Clone(c.ParamValues())
		for i, v := range values {
			decoded, err := url.PathUnescape(v)
			if err != nil {
				return WriteProblem(c, problem.New(problem.ReasonBadRequest, err.Error()))
			}
			values[i] = decoded
		}
		c.SetParamValues(values...)
		return next(c)
	}
}

// WriteProblem responds with a problem document.
func WriteProblem(c echo.Context, p *problem.Problem) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.Blob(p.Status, problem.ContentType, raw)
}

func (a *API) getTable(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	t, err := a.store.CurrentTable(ctx)
	switch {
	case errors.Is(err, tablestore.ErrTableNotRead):
		return WriteProblem(c, problem.New(problem.ReasonNotReady, err.Error()))
	case err != nil:
		return WriteProblem(c, problem.New(problem.ReasonStoreUnavailable, err.Error()))
	}
	return c.JSON(http.StatusOK, t)
}

// putTable replaces the whole table. The version in the request must be the current one.
func (a *API) putTable(c echo.Context) error {
	var t table.Table
	if err := json.NewDecoder(c.Request().Body).Decode(&t); err != nil {
		return WriteProblem(c, problem.New(problem.ReasonBadRequest, err.Error()))
	}
	if cellErrors := a.store.Check(&t); cellErrors != nil {
		return writeChangeRefusal(c, cellErrors)
	}
	return a.change(c, func(d *tablestore.Draft) error {
		if d.Version != t.Version {
			return problem.New(problem.ReasonVersionConflict, fmt.Sprintf("version %d was read, the table has version %d", t.Version, d.Version))
		}
		d.Table = &t
		return nil
	})
}

// TableProblem is the refusal of a table, with its invalid cells.
type TableProblem struct {
	*problem.Problem
	Faults table.CellErrors `json:"faults"`
}

// changeTimeout is the time limit of reading or changing the table in the store.
const changeTimeout = 5 * time.Second

// change edits the table and responds with the accepted one.
func (a *API) change(c echo.Context, edit tablestore.Edit) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	accepted, err := a.store.Change(ctx, edit)
	if err != nil {
		return writeChangeRefusal(c, err)
	}
	return c.JSON(http.StatusOK, accepted)
}

// writeChangeRefusal responds to a change that was not accepted.
func writeChangeRefusal(c echo.Context, err error) error {
	var cellErrors table.CellErrors
	if errors.As(err, &cellErrors) {
		return c.JSON(http.StatusUnprocessableEntity, TableProblem{Problem: problem.New(problem.ReasonInvalidTable, ""), Faults: cellErrors})
	}
	return WriteProblem(c, changeProblem(err))
}

// changeProblem returns the problem for the error of a change. Unless the error means that
// nothing was written, it is unknown whether the change was.
func changeProblem(err error) *problem.Problem {
	var p *problem.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, tablestore.ErrNotWritten):
		return problem.New(problem.ReasonStoreUnavailable, err.Error())
	default:
		return problem.New(problem.ReasonChangeUnknown, err.Error())
	}
}
