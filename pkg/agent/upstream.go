package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Headers of calls to upstreams.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	// headerDeadline lets an upstream refuse a call that comes too late.
	headerDeadline = "X-Deadline-Unix-Ms"
)

// Limits of an answer in bytes.
const (
	maxAnswerPart  = 32 << 10
	maxAnswerBytes = 32 << 20
	maxReportBytes = 64 << 10
)

// loadReport is an upstream's own report of its load.
type loadReport struct {
	Incarnation string  `json:"incarnation"`
	Cold        bool    `json:"cold"`
	StepMillis  float64 `json:"step_millis"`
	Skew        float64 `json:"skew"`
}

// errNotSent means that no connection to the upstream was made, so that it
// received no byte of the call.
var errNotSent = errors.New("no connection to the upstream; check that it listens, or send the request elsewhere")

// errBusy means that a model engine refused the request before it began.
var errBusy = errors.New("the engine is full; send the request to another upstream")

// busyStatuses are the answers of an upstream that another one may not give.
var busyStatuses = []int{
	http.StatusTooManyRequests,
	http.StatusBadGateway,
	http.StatusServiceUnavailable,
	http.StatusGatewayTimeout,
}

// upstreamClient calls the upstream.
type upstreamClient struct {
	base  string
	model bool
	// http reuses connections. single does not, so that a call that is not
	// idempotent is never repeated by the transport and never lost on a
	// connection that the upstream has just closed.
	http   *http.Client
	single *http.Client
}

// upstreamDialTimeout bounds the opening of a connection, so that work is not
// sent long after the last check of its deadline.
const upstreamDialTimeout = time.Second

func newUpstreamClient(base string, model bool) *upstreamClient {
	pooled := http.DefaultTransport.(*http.Transport).Clone()
	pooled.Proxy = nil
	pooled.DialContext = (&net.Dialer{Timeout: upstreamDialTimeout}).DialContext
	pooled.MaxIdleConnsPerHost = 64
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &upstreamClient{
		base:   base,
		model:  model,
		http:   &http.Client{Transport: pooled, CheckRedirect: keepRedirect},
		single: &http.Client{Transport: single, CheckRedirect: keepRedirect},
	}
}

// keepRedirect passes redirects on to the caller. Following one would send the
// call a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// load reads the upstream's report.
func (u *upstreamClient) load(ctx context.Context) (loadReport, error) {
	var report loadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.base+"/v1/load", nil)
	if err != nil {
		return report, errors.WithStack(err)
	}
	resp, err := u.http.Do(req)
	if err != nil {
		return report, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errors.Errorf("load report answered %d; check the upstream", resp.StatusCode)
	}
	return report, errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report))
}

// answer takes the parts of an upstream's answer.
type answer interface {
	head(status int, contentType string)
	data(part []byte)
}

// call sends an attempt to the upstream and passes the answer on. A plain
// answer is also copied to kept.
func (u *upstreamClient) call(ctx context.Context, a *api.AttemptRequest, out answer, kept *bytes.Buffer) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, u.base+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return 0, "", errors.WithStack(err)
	}
	// Without GetBody the transport can't send the request a second time.
	req.GetBody = nil
	req.Header.Set(headerRequestID, a.RequestID)
	req.Header.Set(headerDeadline, strconv.FormatInt(a.DeadlineUnixMilli, 10))
	if a.ContentType != "" {
		req.Header.Set("Content-Type", a.ContentType)
	}
	if a.Priority {
		req.Header.Set(headerPriority, "1")
	}
	resp, err := u.send(req, a.Idempotent)
	if err != nil {
		return 0, "", err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)
	defer resp.Body.Close()
	if u.model && resp.StatusCode == http.StatusTooManyRequests {
		return 0, "", errBusy
	}
	if a.Idempotent && slices.Contains(busyStatuses, resp.StatusCode) {
		return 0, "", errors.Errorf("upstream answered %d; another upstream may take the request", resp.StatusCode)
	}
	events := u.model && resp.StatusCode == http.StatusOK
	if !events && !delimited(resp) {
		return 0, "", errors.New("upstream's answer has no length; make it send Content-Length or chunks")
	}
	contentType := resp.Header.Get("Content-Type")
	out.head(resp.StatusCode, contentType)
	if events {
		return resp.StatusCode, contentType, readEvents(resp.Body, out)
	}
	return resp.StatusCode, contentType, readParts(resp.Body, out, kept)
}

// send sends a call. It returns errNotSent when no connection was made for it.
func (u *upstreamClient) send(req *http.Request, idempotent bool) (*http.Response, error) {
	client := u.single
	if idempotent {
		client = u.http
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	return resp, errors.WithStack(err)
}

// delimited reports whether the end of an answer can be told from a broken
// connection.
func delimited(resp *http.Response) bool {
	known := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed
	return known || resp.ProtoMajor > 1 || resp.Request.Method == http.MethodHead
}

// Markers of server-sent events.
const (
	eventField = "data:"
	eventError = "event: error"
	eventDone  = "[DONE]"
)

// ErrTruncated means that an engine's stream ended without its end marker.
var ErrTruncated = errors.New("engine's stream ended early; resume it or send the request again")

// readEvents passes on the data of each server-sent event up to the end marker.
func readEvents(body io.Reader, out answer) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errors.Wrap(ErrTruncated, err.Error())
		}
		if string(bytes.TrimSpace(line)) == eventError {
			return errors.New("engine ended its stream with an error; send the request again")
		}
		event, ok := bytes.CutPrefix(line, []byte(eventField))
		if !ok {
			continue
		}
		event = bytes.TrimSpace(event)
		if string(event) == eventDone {
			return nil
		}
		out.data(event)
	}
}

// readParts passes on a plain answer.
func readParts(body io.Reader, out answer, kept *bytes.Buffer) error {
	part := make([]byte, maxAnswerPart)
	for {
		n, err := body.Read(part)
		if n > 0 {
			out.data(bytes.Clone(part[:n]))
			kept.Write(part[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}
