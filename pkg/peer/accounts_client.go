package peer

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
)

// Paths of accounts and decisions.
const (
	PathAccounting = "/v1/accounting"
	PathDecisions  = "/v1/decisions"
)

// Accounts reads the accounts of another entry.
func (c *AgentClient) Accounts(ctx context.Context, address string, q accounting.Query) ([]accounting.Account, error) {
	values := url.Values{"organisation": {q.Organisation}, "limit": {strconv.Itoa(q.Limit)}}
	var accounts []accounting.Account
	err := c.read(ctx, address+PathAccounting+"?"+values.Encode(), &accounts)
	return accounts, err
}

// Decisions reads another host's decisions about a request.
func (c *AgentClient) Decisions(ctx context.Context, address, requestID string) ([]decisionlog.Decision, error) {
	var decisions []decisionlog.Decision
	err := c.read(ctx, address+PathDecisions+"/"+url.PathEscape(requestID), &decisions)
	return decisions, err
}

// read sends a GET request and decodes the JSON response.
func (c *AgentClient) read(ctx context.Context, target string, out any) error {
	return c.exchange(ctx, c.pooled, http.MethodGet, target, nil, out)
}
