package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
)

// Paths of an agent's API, and PathTable, the prefix of an entry's paths for the table.
const (
	PathAttempts = "/v1/attempts"
	PathWithdraw = "/v1/withdraw"
	PathReport   = "/v1/report"
	PathTable    = "/v1/table"
)

// ErrNotSent means that no byte of a request was written to a connection.
var ErrNotSent = errors.New("no connection to the agent; the attempt was not sent and may be sent elsewhere")

// AgentClient sends requests to agents, and also those to entries that read accounts
// and decisions.
type AgentClient struct {
	token string
	// pooled reuses connections, single opens a new one for each request.
	pooled *http.Client
	single *http.Client
}

// dialTimeout is the longest time to open a connection.
const dialTimeout = time.Second

// NewAgentClient returns a client that authenticates with the shared secret.
func NewAgentClient(token string) *AgentClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: httpclient.MaxHeaderBytes}
	single := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: httpclient.MaxHeaderBytes}
	return &AgentClient{
		token:  token,
		pooled: &http.Client{Transport: pooled},
		single: &http.Client{Transport: single},
	}
}

// Attempt sends an attempt and returns its response stream. Work that is not
// idempotent is sent on a new connection, because a pooled one may no longer reach
// the agent.
func (c *AgentClient) Attempt(ctx context.Context, address string, a *api.AttemptRequest) (io.ReadCloser, error) {
	client := c.single
	if a.Idempotent {
		client = c.pooled
	}
	return c.open(ctx, client, http.MethodPost, address+PathAttempts, a)
}

// Resume reads the response of a request again, starting at a data frame, on a new
// connection.
func (c *AgentClient) Resume(ctx context.Context, address, requestID string, from int) (io.ReadCloser, error) {
	target := fmt.Sprintf("%s%s/%s?from=%d", address, PathAttempts, url.PathEscape(requestID), from)
	return c.open(ctx, c.single, http.MethodGet, target, nil)
}

// Cancel cancels an attempt whose response is no longer needed.
func (c *AgentClient) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	target := fmt.Sprintf("%s%s/%s?attempt=%d", address, PathAttempts, url.PathEscape(requestID), attempt)
	body, err := c.open(ctx, c.single, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	return body.Close()
}

// Withdraw prevents an attempt from starting if it has not started, and returns its
// outcome so far. It uses a new connection.
func (c *AgentClient) Withdraw(ctx context.Context, address string, w *api.WithdrawRequest) (api.Outcome, error) {
	var reply api.WithdrawReply
	err := c.call(ctx, c.single, address+PathWithdraw, w, &reply)
	return reply.Outcome, err
}

// Report requests an agent's report, and sends it newer marks.
func (c *AgentClient) Report(ctx context.Context, address string, r *api.ReportRequest) (api.Report, error) {
	var report api.Report
	err := c.call(ctx, c.pooled, address+PathReport, r, &report)
	return report, err
}

func (c *AgentClient) call(ctx context.Context, client *http.Client, target string, in, out any) error {
	return c.exchange(ctx, client, http.MethodPost, target, in, out)
}

// maxReplyBytes limits a JSON response: the records of some ten thousand requests.
const maxReplyBytes = 16 << 20

// exchange sends in as JSON, unless it is nil, and decodes the JSON response into out.
func (c *AgentClient) exchange(ctx context.Context, client *http.Client, method, target string, in, out any) error {
	body, err := c.open(ctx, client, method, target, in)
	if err != nil {
		return err
	}
	defer body.Close()
	return errors.Wrap(json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(out), "response can't be read; send the request again")
}

// open sends in as JSON, unless it is nil, and returns the body of a response with
// status 200. It returns ErrNotSent if no connection was made.
func (c *AgentClient) open(ctx context.Context, client *http.Client, method, target string, in any) (io.ReadCloser, error) {
	var reader io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set(api.HeaderPeerToken, c.token)
	req.Header.Set("Content-Type", "application/json")
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !connected.Load() {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Errorf("%s responded with status %d; check that both processes have the same peer token and release", target, resp.StatusCode)
	}
	return resp.Body, nil
}
