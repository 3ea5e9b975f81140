// Package hosts is the client of the platform's host list. The list lags behind, so it
// gives the addresses of hosts but not whether they still accept requests.
package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/rawjson"
)

// Role distinguishes entry hosts from upstream hosts.
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
	// FailureDomain is the failure domain of the host.
	FailureDomain string `json:"failure_domain"`
	// Address is the base URL of the system's process on the host.
	Address string `json:"address"`
	// Draining is true once the platform has announced that the host will be removed.
	Draining bool `json:"leaving"`
}

// EntryAddresses returns the addresses of the entries in a list by name.
func EntryAddresses(list []Host) map[string]string {
	addresses := make(map[string]string, len(list))
	for _, h := range list {
		if h.Role == RoleEntry {
			addresses[h.Name] = h.Address
		}
	}
	return addresses
}

// maxListBytes limits the size of the list: some hundred bytes for each of some thousand
// hosts.
const maxListBytes = 4 << 20

// Client reads the host list.
type Client struct {
	url  string
	http *http.Client
	// skipped is the number of hosts in the latest list that could not be decoded.
	skipped atomic.Int64
}

// NewClient returns a client of the host list at a base URL. timeout limits each call.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{url: base + "/v1/hosts", http: &http.Client{Transport: httpclient.NewTransport(), Timeout: timeout}}
}

// List returns the hosts in the list.
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
		return nil, errors.Errorf("host list returned status %d; the last known hosts stay in use", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, errors.Wrap(err, "host list can't be read; the last known hosts stay in use")
	}
	return c.decode(raw)
}

// decode decodes the hosts one by one, so that one that can't be decoded doesn't affect the
// others.
func (c *Client) decode(raw []byte) ([]Host, error) {
	elements, err := rawjson.Elements(raw)
	if err != nil {
		return nil, errors.Wrap(err, "host list can't be decoded; the last known hosts stay in use")
	}
	list := make([]Host, 0, len(elements))
	for _, e := range elements {
		var h Host
		if json.Unmarshal(e, &h) == nil && h.Name != "" {
			list = append(list, h)
		}
	}
	if skipped := int64(len(elements) - len(list)); c.skipped.Swap(skipped) != skipped {
		logging.For("hosts").WithFields(logrus.Fields{"ignored": skipped, "hosts": len(list)}).Warn("number of hosts in the list that can't be decoded has changed; they are ignored")
	}
	return list, nil
}
