package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Client calls the operators' API of an entry.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// clientTimeout is the time limit of each call.
const clientTimeout = 10 * time.Second

// NewClient returns a client of the entry at a base URL.
func NewClient(baseURL, token string) *Client {
	return &Client{baseURL: baseURL + "/operator/v1", token: token, httpClient: &http.Client{Transport: httpclient.NewTransport(), Timeout: clientTimeout}}
}

// Table reads the table.
func (c *Client) Table(ctx context.Context) (*table.Table, error) {
	var t table.Table
	return &t, c.call(ctx, http.MethodGet, "/table", nil, &t)
}

// PutTable replaces the table and returns the accepted one.
func (c *Client) PutTable(ctx context.Context, t *table.Table) (*table.Table, error) {
	var accepted table.Table
	return &accepted, c.call(ctx, http.MethodPut, "/table", t, &accepted)
}

// PatchOrganisation changes some columns of an organisation's row, or adds the row.
func (c *Client) PatchOrganisation(ctx context.Context, name string, p *RowPatch) (*table.Table, error) {
	var accepted table.Table
	return &accepted, c.call(ctx, http.MethodPatch, "/organisations/"+url.PathEscape(name), p, &accepted)
}

// DeleteOrganisation removes an organisation's row.
func (c *Client) DeleteOrganisation(ctx context.Context, name string) (*table.Table, error) {
	var accepted table.Table
	return &accepted, c.call(ctx, http.MethodDelete, "/organisations/"+url.PathEscape(name), nil, &accepted)
}

// MarkFailureDomain marks a failure domain "out" of service or "in" service.
func (c *Client) MarkFailureDomain(ctx context.Context, name, mark string) (*MarkResult, error) {
	var accepted MarkResult
	return &accepted, c.call(ctx, http.MethodPut, "/failure-domains/"+url.PathEscape(name)+"/"+mark, nil, &accepted)
}

// MarkUpstream marks an upstream "out" of service or "in" service.
func (c *Client) MarkUpstream(ctx context.Context, name, mark string) (*MarkResult, error) {
	var accepted MarkResult
	return &accepted, c.call(ctx, http.MethodPut, "/upstreams/"+url.PathEscape(name)+"/"+mark, nil, &accepted)
}

// Status reads the status of all hosts and upstreams.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	return &s, c.call(ctx, http.MethodGet, "/status", nil, &s)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.WithStack(err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "entry can't be reached; try another --entry")
	}
	defer resp.Body.Close()
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBytes)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return readProblem(resp)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "response can't be decoded; check that --entry is the address of an entry")
}

// maxResponseBytes limits a response: a table of some ten thousand organisations.
const maxResponseBytes = 64 << 20

func readProblem(resp *http.Response) error {
	var p TableProblem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Problem == nil {
		return errors.Errorf("response with status %d is not a problem document; check that --entry is the address of an entry", resp.StatusCode)
	}
	if len(p.Faults) > 0 {
		return p.Faults
	}
	return p.Problem
}
