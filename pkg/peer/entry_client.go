package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/directory"
	"github.com/acaciaglade/acaciaglade/pkg/quarantine"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Paths of an entry's API for other entries.
const (
	PathTableUpdates = PathTable + "/news"
	PathTablePages   = PathTable + "/pages"
	PathCeilings     = "/v1/ceilings"
	PathReports      = "/v1/quarantine/reports"
	PathTrials       = "/v1/quarantine/trials"
	PathLimits       = "/v1/upstreams/limits"
)

// LimitExchange carries reports of the limits that upstreams name between two entries. The
// response has those of the receiver.
type LimitExchange struct {
	Reports []sendlimit.Report `json:"reports"`
}

// ReportExchange carries reports of upstreams that ended between two entries.
type ReportExchange struct {
	// Reports are merged by the receiver.
	Reports []quarantine.Report `json:"reports,omitempty"`
	// Digest is the digest of all reports of the sender. A request with Compare is answered
	// with the receiver's reports if its digest differs.
	Compare bool   `json:"compare,omitempty"`
	Digest  uint64 `json:"digest"`
}

// TrialRequest asks an entry for the trial of a service, or ends it.
type TrialRequest struct {
	Service string `json:"service"`
	// ID identifies the trial.
	ID  string `json:"id"`
	End bool   `json:"end,omitempty"`
}

// TrialReply is the response to a TrialRequest.
type TrialReply struct {
	Granted bool `json:"granted"`
}

// EntryClient sends requests to other entries.
type EntryClient struct {
	client *AgentClient
}

// NewEntryClient returns a client that authenticates with the shared secret.
func NewEntryClient(token string) *EntryClient {
	return &EntryClient{client: NewAgentClient(token)}
}

// PollUpdate requests an update of the table from an entry. When there is none, the
// entry delays its response by up to the wait in the request.
func (c *EntryClient) PollUpdate(ctx context.Context, address string, r *tablesync.UpdateRequest) (*tablesync.Update, error) {
	var update tablesync.Update
	return &update, c.client.call(ctx, c.client.pooled, address+PathTableUpdates, r, &update)
}

// RequestLeases requests leases of rates from an entry, as the home of the
// organisations.
func (c *EntryClient) RequestLeases(ctx context.Context, address string, r *ceiling.BatchRequest) (ceiling.BatchResponse, error) {
	var grants ceiling.BatchResponse
	err := c.client.call(ctx, c.client.pooled, address+PathCeilings, r, &grants)
	return grants, err
}

// ExchangeReports sends reports to an entry and returns its response.
func (c *EntryClient) ExchangeReports(ctx context.Context, address string, r *ReportExchange) (*ReportExchange, error) {
	var reply ReportExchange
	err := c.client.call(ctx, c.client.pooled, address+PathReports, r, &reply)
	return &reply, err
}

// ExchangeLimits sends reports of limits to an entry and returns its response.
func (c *EntryClient) ExchangeLimits(ctx context.Context, address string, r *LimitExchange) (*LimitExchange, error) {
	var reply LimitExchange
	err := c.client.call(ctx, c.client.pooled, address+PathLimits, r, &reply)
	return &reply, err
}

// RequestTrial requests the trial of a service from an entry, or ends it there.
func (c *EntryClient) RequestTrial(ctx context.Context, address string, r *TrialRequest) (*TrialReply, error) {
	var reply TrialReply
	err := c.client.call(ctx, c.client.pooled, address+PathTrials, r, &reply)
	return &reply, err
}

// ReadKnowledge reads what configuration an entry has.
func (c *EntryClient) ReadKnowledge(ctx context.Context, address string) (directory.Knowledge, error) {
	var k directory.Knowledge
	body, err := c.client.open(ctx, c.client.pooled, http.MethodGet, address+directory.PathKnowledge, nil)
	if err != nil {
		return k, err
	}
	defer body.Close()
	err = json.NewDecoder(io.LimitReader(body, maxPageBytes)).Decode(&k)
	return k, errors.Wrap(err, "the entry's configuration can't be read; look at its version")
}

// Page reads a page of the table by its hash.
func (c *EntryClient) Page(ctx context.Context, address, hash string) (table.Page, error) {
	var p table.Page
	body, err := c.client.open(ctx, c.client.pooled, http.MethodGet, address+PathTablePages+"/"+hash, nil)
	if err != nil {
		return p, err
	}
	defer body.Close()
	err = json.NewDecoder(io.LimitReader(body, maxPageBytes)).Decode(&p)
	return p, errors.Wrap(err, "page can't be read; fetch it from another entry")
}

// maxPageBytes is the largest encoded size of a page.
const maxPageBytes = 1 << 20
