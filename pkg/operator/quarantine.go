package operator

import (
	"context"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
)

// Quarantine holds the parts of prompts and the whole requests that are kept from upstreams.
type Quarantine interface {
	// Standings returns the parts that are suspected or quarantined.
	Standings() []quarantine.Standing
	// Release ends the quarantine of a part. It returns false if nothing is known of the
	// part.
	Release(service, part string) bool
}

// QuarantineReport lists the parts of prompts and the whole requests that an entry keeps from
// upstreams.
type QuarantineReport struct {
	Entry string                `json:"entry"`
	Parts []quarantine.Standing `json:"parts"`
}

func (a *API) getQuarantine(c echo.Context) error {
	r := QuarantineReport{Entry: a.cfg.Entry, Parts: []quarantine.Standing{}}
	if a.cfg.Quarantine != nil {
		r.Parts = append(r.Parts, a.cfg.Quarantine.Standings()...)
	}
	return c.JSON(http.StatusOK, r)
}

func (a *API) releasePart(c echo.Context) error {
	service, part := c.Param("service"), c.Param("part")
	if a.cfg.Quarantine == nil || !a.cfg.Quarantine.Release(service, part) {
		return WriteProblem(c, problem.New(problem.ReasonUnknownRow, "no upstream of "+service+" ended with part "+part+"; the quarantine list shows the service and part of each that can be released"))
	}
	return a.getQuarantine(c)
}

// Quarantine reads the parts of prompts that are kept from upstreams.
func (c *Client) Quarantine(ctx context.Context) (*QuarantineReport, error) {
	var r QuarantineReport
	return &r, c.call(ctx, http.MethodGet, "/quarantine", nil, &r)
}

// ReleasePart ends the quarantine of a part and returns the parts that remain.
func (c *Client) ReleasePart(ctx context.Context, service, part string) (*QuarantineReport, error) {
	var r QuarantineReport
	return &r, c.call(ctx, http.MethodDelete, "/quarantine/"+url.PathEscape(service)+"/"+url.PathEscape(part), nil, &r)
}
