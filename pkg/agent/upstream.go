package agent

import (
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
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/httpclient"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
	"github.com/acaciaglade/acaciaglade/pkg/stream"
)

// Headers of calls to upstreams.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	// headerDeadline lets an upstream refuse a call that arrives after its deadline.
	headerDeadline = "X-Deadline-Unix-Ms"
)

// Limits of responses in bytes.
const (
	maxPartBytes     = 32 << 10
	maxResponseBytes = 32 << 20
	maxEventBytes    = 256 << 10
	maxReportBytes   = 64 << 10
)

// loadReport is an upstream's own report of its load. Its fields are those of
// warmup.Sample; Skew is the ratio of the slowest rank's step time to the mean.
type loadReport struct {
	Incarnation string  `json:"incarnation"`
	Cold        bool    `json:"cold"`
	StepMillis  float64 `json:"step_millis"`
	Skew        float64 `json:"skew"`
}

// errNotSent means that the upstream received no byte of a call, because no connection
// was made.
var errNotSent = errors.New("no connection to the upstream; check that it listens, or send the request elsewhere")

// errBusy means that a model engine refused a request without starting it.
var errBusy = errors.New("the engine is full; send the request to another upstream")

// busyStatuses are the response statuses of an upstream that is overloaded or
// unavailable, so that another upstream may succeed.
var busyStatuses = []int{
	http.StatusTooManyRequests,
	http.StatusBadGateway,
	http.StatusServiceUnavailable,
	http.StatusGatewayTimeout,
}

// upstreamClient calls the upstream.
type upstreamClient struct {
	baseURL       string
	isModelEngine bool
	// pooled reuses connections, single does not. Calls that are not idempotent use
	// single, so that the transport never repeats them, and none is lost because the
	// upstream has just closed an idle connection.
	pooled *http.Client
	single *http.Client
}

// upstreamDialTimeout limits the time for opening a connection, so that work is not
// sent long after its deadline was last checked.
const upstreamDialTimeout = time.Second

func newUpstreamClient(baseURL string, isModelEngine bool) *upstreamClient {
	pooled := httpclient.NewTransport()
	pooled.Proxy = nil
	pooled.DialContext = (&net.Dialer{Timeout: upstreamDialTimeout}).DialContext
	pooled.MaxIdleConnsPerHost = 64
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &upstreamClient{
		baseURL:       baseURL,
		isModelEngine: isModelEngine,
		pooled:        &http.Client{Transport: pooled, CheckRedirect: returnRedirect},
		single:        &http.Client{Transport: single, CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes a client return redirects instead of following them. Following
// one would send the call a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// readLoad reads the upstream's own report of its load.
func (u *upstreamClient) readLoad(ctx context.Context) (loadReport, error) {
	var report loadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.baseURL+"/v1/load", nil)
	if err != nil {
		return report, errors.WithStack(err)
	}
	resp, err := u.pooled.Do(req)
	if err != nil {
		return report, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errors.Errorf("upstream responded to a load query with status %d; check the upstream", resp.StatusCode)
	}
	return report, errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report))
}

// resetRetryInterval is the time between two queries of an upstream that resets connections.
const resetRetryInterval = 10 * time.Millisecond

// readLoadAfterReset reads the upstream's load, again as long as connections are reset and ctx
// has not ended. The listener of a process that ends is closed after its connections, so it may
// accept a query that is then reset.
func (u *upstreamClient) readLoadAfterReset(ctx context.Context) (loadReport, error) {
	for {
		report, err := u.readLoad(ctx)
		isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
		if !isReset || ctx.Err() != nil {
			return report, err
		}
		pause.Sleep(ctx, resetRetryInterval)
	}
}

// responseSink receives an upstream's response.
type responseSink interface {
	setHeader(status int, contentType string)
	// writeData returns an error if the response must not go on.
	writeData(part []byte) error
}

// call sends an attempt to the upstream, and passes the response to out as it arrives.
// The body of a response that is not an event stream is also copied to bodyCopy unless that is
// nil. It returns the response's status and content type. After errNotSent or errBusy the
// attempt has not run; after another error it may have.
func (u *upstreamClient) call(ctx context.Context, a *api.AttemptRequest, out responseSink, bodyCopy *bytes.Buffer) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, u.baseURL+a.Path, bytes.NewReader(a.Body))
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
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBytes)
	defer resp.Body.Close()
	if !httpclient.IsStatus(resp.StatusCode) {
		return 0, "", errors.Errorf("upstream answered with status %03d, which is none of HTTP; look at the upstream", resp.StatusCode)
	}
	if u.isModelEngine && resp.StatusCode == http.StatusTooManyRequests {
		return 0, "", errBusy
	}
	if a.Idempotent && slices.Contains(busyStatuses, resp.StatusCode) {
		return 0, "", errors.Errorf("upstream answered %d; another upstream may take the request", resp.StatusCode)
	}
	events := u.isModelEngine && resp.StatusCode == http.StatusOK
	if !events && !isDelimited(resp) {
		return 0, "", errors.New("upstream's answer has no length; make it send Content-Length or chunks")
	}
	contentType := resp.Header.Get("Content-Type")
	out.setHeader(resp.StatusCode, contentType)
	if events {
		return resp.StatusCode, contentType, readEvents(resp.Body, out)
	}
	return resp.StatusCode, contentType, readParts(resp.Body, out, bodyCopy)
}

// send sends a call. It returns errNotSent if no connection was made for the call.
func (u *upstreamClient) send(req *http.Request, idempotent bool) (*http.Response, error) {
	client := u.single
	if idempotent {
		client = u.pooled
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	return resp, errors.WithStack(err)
}

// isDelimited reports whether the end of a response can be distinguished from a broken
// connection.
func isDelimited(resp *http.Response) bool {
	known := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed
	return known || resp.ProtoMajor > 1 || resp.Request.Method == http.MethodHead
}

// Markers of server-sent events.
const (
	eventField = "data:"
	typeField  = "event:"
	eventError = "error"
	eventDone  = "[DONE]"
)

// ErrTruncated means that an engine's stream ended without its end marker.
var ErrTruncated = errors.New("engine's stream ended early; resume it or send the request again")

// readEvents passes the data of each server-sent event to out until the end marker.
func readEvents(body io.Reader, out responseSink) error {
	lines := stream.NewLineReader(body, maxEventBytes)
	for {
		line, err := lines.Next()
		if err != nil {
			return errors.Wrap(ErrTruncated, err.Error())
		}
		if kind, ok := bytes.CutPrefix(line, []byte(typeField)); ok && string(bytes.TrimSpace(kind)) == eventError {
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
		if err := out.writeData(bytes.Clone(event)); err != nil {
			return err
		}
	}
}

// readParts passes a response body to out in parts, and copies it to bodyCopy unless that is
// nil.
func readParts(body io.Reader, out responseSink, bodyCopy *bytes.Buffer) error {
	part := make([]byte, maxPartBytes)
	for {
		n, err := body.Read(part)
		if n > 0 {
			if err := out.writeData(bytes.Clone(part[:n])); err != nil {
				return err
			}
			if bodyCopy != nil {
				bodyCopy.Write(part[:n])
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}
