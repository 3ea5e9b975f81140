package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
)

// Accounts reads what organisations asked for and got, over the fleet or at the
// called entry alone.
func (c *Client) Accounts(ctx context.Context, q accounting.Query, fleet bool) (*AccountsReport, error) {
	values := url.Values{"limit": {strconv.Itoa(q.Limit)}}
	if q.Organisation != "" {
		values.Set("organisation", q.Organisation)
	}
	if !fleet {
		values.Set("scope", "entry")
	}
	var r AccountsReport
	return &r, c.call(ctx, http.MethodGet, "/accounting?"+values.Encode(), nil, &r)
}

// Decisions reads the decisions about a request.
func (c *Client) Decisions(ctx context.Context, requestID string) (*DecisionsReport, error) {
	var r DecisionsReport
	return &r, c.call(ctx, http.MethodGet, "/decisions/"+url.PathEscape(requestID), nil, &r)
}
