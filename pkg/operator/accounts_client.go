package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
)

// Accounts reads the merged accounts of all entries, or those of the called entry.
func (c *Client) Accounts(ctx context.Context, q accounting.Query, allEntries bool) (*AccountsReport, error) {
	values := url.Values{"limit": {strconv.Itoa(q.Limit)}}
	if q.Organisation != "" {
		values.Set("organisation", q.Organisation)
	}
	if !allEntries {
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
