package group

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
)

// maxBodyBytes limits the size of a message. A map of 58 layers and 32 ranks takes some
// tens of kilobytes.
const maxBodyBytes = 8 << 20

// client sends requests to other agents and to the agent's own rank.
type client struct {
	token string
	http  *http.Client
}

func newClient(token string, timeout time.Duration) *client {
	return &client{token: token, http: &http.Client{Transport: httpclient.NewTransport(), Timeout: timeout}}
}

func (c *client) post(ctx context.Context, target string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.do(ctx, http.MethodPost, target, bytes.NewReader(raw), out)
}

func (c *client) get(ctx context.Context, target string, out any) error {
	return c.do(ctx, http.MethodGet, target, http.NoBody, out)
}

func (c *client) do(ctx context.Context, method, target string, body io.Reader, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return errors.WithStack(err)
	}
	// Without GetBody the transport cannot retry, so an order is sent at most once.
	req.GetBody = nil
	req.Header.Set(api.HeaderPeerToken, c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s responded with status %d; check that it belongs to the group and uses the same peer token", target, resp.StatusCode)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
		return errors.WithStack(err)
	}
	return decode(resp.Body, out)
}

func decode(body io.Reader, out any) error {
	return errors.Wrap(json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(out), "failed to decode a message; check that both sides run the same release")
}
