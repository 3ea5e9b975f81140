// Package objects is a client of the platform's object API, which stores named JSON
// objects with versions, conditional updates and watches.
//
// The API follows the resource conventions of Kubernetes custom resources: objects have
// metadata.name and metadata.resourceVersion, the creation of an existing object and an
// update with an outdated version return status 409, and a watch is a stream of JSON lines.
package objects

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
)

// BasePath is the path prefix of all kinds of objects.
const BasePath = "/apis/acaciaglade.io/v1"

// MaxValueBytes is the largest size of an object, in bytes.
const MaxValueBytes = 1 << 20

// Limits of a watch, in bytes.
const (
	readBufferBytes = 16 << 10
	// maxEventBytes is the largest event: an object and its metadata.
	maxEventBytes = 2 * MaxValueBytes
)

// Errors of the object API. Their messages include the remedy.
var (
	ErrNotFound    = errors.New("object not found; create it first")
	ErrConflict    = errors.New("object has another version; read it again and redo the change")
	ErrExists      = errors.New("object already exists; read it to find out which write created it")
	ErrUnavailable = errors.New("object API unavailable; the write may have taken effect, so read the object before trying again")
)

// Metadata is the name of an object and its version.
type Metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Object is a stored object.
type Object struct {
	Kind     string          `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Types of events.
const (
	Added    = "ADDED"
	Modified = "MODIFIED"
	Deleted  = "DELETED"
	// Bookmark marks the end of the current objects at the start of a watch. Its object
	// has no name.
	Bookmark = "BOOKMARK"
	// Restored states that the store has come back from a copy, so that its latest changes
	// are lost. The current objects follow. Its object has no name.
	Restored = "RESTORED"
)

// Event is one line of a watch stream.
type Event struct {
	// Type is one of the types above.
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// Store is the part of the object API that the system uses.
type Store interface {
	// Get reads an object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. It returns ErrExists when the object exists.
	Create(ctx context.Context, kind, name string, spec any) (Object, error)
	// Update writes an object if it still has the given version, and returns
	// ErrConflict otherwise.
	Update(ctx context.Context, kind, name, version string, spec any) (Object, error)
	// Watch calls fn first for the current objects of a kind, then for each change,
	// until ctx ends or the watch fails.
	Watch(ctx context.Context, kind string, fn func(Event)) error
}

// Deleter deletes objects.
type Deleter interface {
	// Delete deletes an object. It returns ErrNotFound when the object does not exist.
	Delete(ctx context.Context, kind, name string) error
}

// Client implements Store and Deleter over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    time.Duration
}

// NewClient returns a client of the object API at a base URL. timeout limits the time of each
// call except watches.
func NewClient(baseURL string, timeout time.Duration) *Client {
	return &Client{baseURL: baseURL + BasePath, httpClient: &http.Client{Transport: httpclient.NewTransport()}, timeout: timeout}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.call(ctx, http.MethodGet, kind, name, nil)
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, spec any) (Object, error) {
	in, err := newObject(kind, name, "", spec)
	if err != nil {
		return Object{}, err
	}
	out, err := c.call(ctx, http.MethodPost, kind, "", in)
	if errors.Is(err, ErrConflict) {
		return Object{}, ErrExists
	}
	return out, err
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name, version string, spec any) (Object, error) {
	o, err := newObject(kind, name, version, spec)
	if err != nil {
		return Object{}, err
	}
	return c.call(ctx, http.MethodPut, kind, name, o)
}

// Delete implements Deleter.
func (c *Client) Delete(ctx context.Context, kind, name string) error {
	_, err := c.call(ctx, http.MethodDelete, kind, name, nil)
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind string, fn func(Event)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/"+kind+"?watch=1", nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrUnavailable, "watch returned status %d", resp.StatusCode)
	}
	lines := bufio.NewReaderSize(resp.Body, readBufferBytes)
	for {
		line, err := readLine(lines)
		if err != nil {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
		if len(line) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			logging.For("objects").WithField("kind", kind).WithField("bytes", len(line)).Warn("event of a watch can't be decoded, ignored")
			continue
		}
		fn(e)
	}
}

// readLine returns the next line without its end. It skips lines above maxEventBytes.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, err := r.ReadSlice('\n')
		if tooLong = tooLong || len(line)+len(part) > maxEventBytes; !tooLong {
			line = append(line, part...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return nil, errors.WithStack(err)
		case tooLong:
			line, tooLong = nil, false
		default:
			return bytes.TrimSpace(line), nil
		}
	}
}

func newObject(kind, name, version string, spec any) (*Object, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Object{Kind: kind, Metadata: Metadata{Name: name, ResourceVersion: version}, Spec: raw}, nil
}

func (c *Client) call(ctx context.Context, method, kind, name string, in *Object) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.baseURL + "/" + kind
	if name != "" {
		target += "/" + url.PathEscape(name)
	}
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return Object{}, errors.WithStack(err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return Object{}, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return Object{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return Object{}, err
	}
	var out Object
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*MaxValueBytes)).Decode(&out); err != nil {
		return Object{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return out, nil
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	default:
		return errors.Wrap(ErrUnavailable, fmt.Sprintf("status %d", status))
	}
}

var (
	_ Store   = (*Client)(nil)
	_ Deleter = (*Client)(nil)
)
