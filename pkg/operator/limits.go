package operator

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// Limits holds the limits that upstreams name.
type Limits interface {
	Limits() []sendlimit.Limit
}

// LimitReport lists the limits that upstreams name, as an entry knows them.
type LimitReport struct {
	Entry  string            `json:"entry"`
	Limits []sendlimit.Limit `json:"limits"`
}

func (a *API) getLimits(c echo.Context) error {
	r := LimitReport{Entry: a.cfg.Entry, Limits: []sendlimit.Limit{}}
	if a.cfg.Limits != nil {
		r.Limits = append(r.Limits, a.cfg.Limits.Limits()...)
	}
	return c.JSON(http.StatusOK, r)
}

// Limits reads the limits that upstreams name.
func (c *Client) Limits(ctx context.Context) (*LimitReport, error) {
	var r LimitReport
	return &r, c.call(ctx, http.MethodGet, "/limits", nil, &r)
}
