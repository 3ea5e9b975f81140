// Package route is the filter that determines the service of a request and converts
// the request into the form that upstreams accept.
//
// If the table has routes, they select the service by host and path. Otherwise a chat
// completion goes to the model that it names, and any other request to the plain service
// (an HTTP service other than a model) that its path names.
package route

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// PathChat is the path of chat completions at entries and at engines.
const PathChat = "/v1/chat/completions"

// PrefixServices is the path below which plain services are called.
const PrefixServices = "/services/"

// Assumed costs.
const (
	// promptBytesPerToken is the assumed size of a prompt token.
	promptBytesPerToken = 4
	// assumedMaxTokens is the assumed length of a response to a request without a limit.
	assumedMaxTokens = 256
	// plainCallCost is the cost of a call of a plain service in tokens.
	plainCallCost = 1
)

// invalidBodyDetail is the detail of a refused body that is not a chat completion.
const invalidBodyDetail = "the body is not a JSON object of a chat completion"

// New returns the filter.
func New(next pipe.Handler) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		resolve := resolvePlain
		switch {
		case r.Index.HasRoutes():
			resolve = resolveByHost
		case r.Path == PathChat:
			resolve = resolveChat
		}
		if refusal := resolve(r); refusal != nil {
			return refusal
		}
		return next.Serve(ctx, r)
	})
}

// chatBody holds the fields of a chat completion that are parsed.
type chatBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// Messages is only used to recognise prompts with the same prefix or the same parts.
	Messages json.RawMessage `json:"messages"`
}

// resolveChat resolves a chat completion by its model.
func resolveChat(r *pipe.Request) *problem.Problem {
	var body chatBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return problem.New(problem.ReasonBadRequest, invalidBodyDetail)
	}
	r.Service = r.Index.Service(body.Model)
	if r.Service == nil || r.Service.Kind != table.KindModel {
		return problem.New(problem.ReasonNotFound, "unknown model "+strconv.Quote(body.Model))
	}
	if body.MaxTokens < 0 {
		return problem.New(problem.ReasonBadRequest, "max_tokens is negative")
	}
	streamed, err := buildEngineBody(r.Body, &body)
	if err != nil {
		return problem.New(problem.ReasonBadRequest, invalidBodyDetail)
	}
	r.PromptCost = float64(len(r.Body) / promptBytesPerToken)
	r.ExpectedCost = r.PromptCost + maxResponseCost(&body)
	r.Prefix = selection.PrefixOf(body.Messages)
	r.SharedParts = sharedParts(body.Messages)
	r.Streamed = body.Stream
	r.Body = streamed
	r.Idempotent = true
	return nil
}

// maxSharedParts limits the messages of a prompt that are looked at.
const maxSharedParts = 64

// sharedParts returns hashes of a prompt's messages without the last one, which belongs to
// the request alone. It returns none if the messages are not a list.
func sharedParts(messages json.RawMessage) []string {
	var list []json.RawMessage
	if json.Unmarshal(messages, &list) != nil || len(list) < 2 {
		return nil
	}
	list = list[:min(len(list)-1, maxSharedParts)]
	parts := make([]string, 0, len(list))
	for _, message := range list {
		var compact bytes.Buffer
		// The message was decoded, so it is valid JSON.
		_ = json.Compact(&compact, message)
		if id := fmt.Sprintf("%016x", xxhash.Sum64(compact.Bytes())); !slices.Contains(parts, id) {
			parts = append(parts, id)
		}
	}
	return parts
}

// maxResponseCost returns the cost in tokens of the longest response that the caller
// allows, or the assumed cost if it set no limit.
func maxResponseCost(body *chatBody) float64 {
	tokens := body.MaxTokens
	if tokens == 0 {
		tokens = assumedMaxTokens
	}
	return float64(tokens)
}

// buildEngineBody returns the body for the engine. The parsed fields are written back
// with their parsed values and only under their exact names, so that the engine can't
// read another model or limit. Streaming is always requested, as the engine's responses
// are always read as a stream.
func buildEngineBody(raw []byte, parsed *chatBody) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	for name := range fields {
		if slices.ContainsFunc(parsedFields, func(field string) bool { return strings.EqualFold(name, field) }) {
			delete(fields, name)
		}
	}
	fields[fieldModel] = json.RawMessage(strconv.Quote(parsed.Model))
	fields[fieldStream] = json.RawMessage("true")
	if parsed.MaxTokens > 0 {
		fields[fieldMaxTokens] = json.RawMessage(strconv.Itoa(parsed.MaxTokens))
	}
	body, err := json.Marshal(fields)
	return body, errors.WithStack(err)
}

// Names of the parsed fields of a chat completion.
const (
	fieldModel     = "model"
	fieldStream    = "stream"
	fieldMaxTokens = "max_tokens"
)

var parsedFields = []string{fieldModel, fieldStream, fieldMaxTokens}

// resolvePlain resolves a call of a plain service: the first segment of the path names
// the service, the rest is the path at the upstream.
func resolvePlain(r *pipe.Request) *problem.Problem {
	rest, ok := strings.CutPrefix(r.Path, PrefixServices)
	name, path, _ := strings.Cut(rest, "/")
	r.Service = r.Index.Service(name)
	if !ok || r.Service == nil || r.Service.Kind != table.KindPlain {
		return problem.New(problem.ReasonNotFound, "unknown service "+strconv.Quote(name))
	}
	r.Path = "/" + path
	if hasDotSegment(r.Path) {
		return problem.New(problem.ReasonBadRequest, "the path has a . or .. segment")
	}
	r.Idempotent = r.Service.IsIdempotent(r.Method, r.Path)
	r.ExpectedCost = plainCallCost
	return nil
}

// resolveByHost resolves a call by its host and path, which the upstream gets unchanged.
func resolveByHost(r *pipe.Request) *problem.Problem {
	route := r.Index.Route(r.Host, r.Path)
	if route == nil {
		return problem.New(problem.ReasonNotFound, "no route for "+strconv.Quote(r.Host+r.Path))
	}
	r.Service = r.Index.Service(route.SelectBackend(rand.Float64()))
	if r.Service == nil {
		return problem.New(problem.ReasonNoUpstream, "route "+route.Name+" has no service")
	}
	r.Route = route
	r.Idempotent = route.Idempotent
	r.Streamed = route.Streamed
	r.MaxAttempts = route.MaxAttempts
	if r.ExpectedCost == 0 {
		r.ExpectedCost = plainCallCost
	}
	return nil
}

// hasDotSegment reports whether a path has a . or .. segment. An upstream may resolve
// these to another path, so that work that is not idempotent would be treated as
// idempotent.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
