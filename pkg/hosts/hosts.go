// Package hosts is the client of the platform's host list. The list lags, so it
// says where hosts are, never whether they still take work.
package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Role tells entry hosts from upstream hosts.
type Role string

// Roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Host is one host of the list.
type Host struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// FailureDomain is the failure domain the host stands in.
	FailureDomain string `json:"failure_domain"`
	// Address is the base URL of the system's process on the host.
	Address string `json:"address"`
	// Leaving is true once the platform has announced that the host leaves.
	Leaving bool `json:"leaving"`
}

// maxListBytes bounds the list: some hundred bytes for each of some thousand hosts.
const maxListBytes = 4 << 20

// Client reads the host list.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the host list at a base URL.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{url: base + "/v1/hosts", http: &http.Client{Timeout: timeout}}
}

// List returns the hosts.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "host list unavailable; the last known hosts stay in use")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("host list answered %d; the last known hosts stay in use", resp.StatusCode)
	}
	var list []Host
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "host list can't be read; the last known hosts stay in use")
	}
	return list, nil
}
