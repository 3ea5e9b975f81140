// Package route is the filter that finds the service of a request and brings
// the request into the form that upstreams take.
package route

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// PathChat is the path of chat completions, at entries and at engines.
const PathChat = "/v1/chat/completions"

// PrefixServices is the path below which plain services are called.
const PrefixServices = "/services/"

// Assumed costs.
const (
	// bytesPerToken is the size of a token of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is the length of an answer that names no limit.
	defaultMaxTokens = 256
	// plainCost is the cost of a plain call in tokens.
	plainCost = 1
)

// errBody is what is wrong with a body that is not a chat completion.
const errBody = "the body is not a JSON object of a chat completion"

// New returns the filter.
func New(next pipe.Handler) pipe.Handler {
	return pipe.HandlerFunc(func(ctx context.Context, r *pipe.Request) error {
		resolve := plain
		switch {
		case r.Index.HasRoutes():
			resolve = byHost
		case r.Path == PathChat:
			resolve = chat
		}
		if refusal := resolve(r); refusal != nil {
			return refusal
		}
		return next.Serve(ctx, r)
	})
}

// chatBody is what is read of a chat completion.
type chatBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// Messages is only used to tell prompts with the same beginning.
	Messages json.RawMessage `json:"messages"`
}

// chat resolves a chat completion.
func chat(r *pipe.Request) *problem.Problem {
	var body chatBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return problem.New(problem.ReasonBadRequest, errBody)
	}
	r.Service = r.Index.Service(body.Model)
	if r.Service == nil || r.Service.Kind != table.KindModel {
		return problem.New(problem.ReasonNotFound, "unknown model "+strconv.Quote(body.Model))
	}
	if body.MaxTokens < 0 {
		return problem.New(problem.ReasonBadRequest, "max_tokens is negative")
	}
	streamed, err := engineBody(r.Body, &body)
	if err != nil {
		return problem.New(problem.ReasonBadRequest, errBody)
	}
	r.PromptCost = float64(len(r.Body) / bytesPerToken)
	r.ExpectedCost = r.PromptCost + answerCost(&body)
	r.Prefix = selection.PrefixOf(body.Messages)
	r.Streamed = body.Stream
	r.Body = streamed
	r.Idempotent = true
	return nil
}

// answerCost returns the longest answer in tokens.
func answerCost(body *chatBody) float64 {
	tokens := body.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return float64(tokens)
}

// engineBody returns the body for the engine. The fields that were read are set
// to what was read, under their exact names alone, so that the engine can't read
// another model or limit. Streaming is asked for, as the engine's answers are
// always read as a stream.
func engineBody(raw []byte, read *chatBody) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	for name := range fields {
		if slices.ContainsFunc(chatFields, func(field string) bool { return strings.EqualFold(name, field) }) {
			delete(fields, name)
		}
	}
	fields[fieldModel] = json.RawMessage(strconv.Quote(read.Model))
	fields[fieldStream] = json.RawMessage("true")
	if read.MaxTokens > 0 {
		fields[fieldMaxTokens] = json.RawMessage(strconv.Itoa(read.MaxTokens))
	}
	body, err := json.Marshal(fields)
	return body, errors.WithStack(err)
}

// Names of the fields that are read of a chat completion.
const (
	fieldModel     = "model"
	fieldStream    = "stream"
	fieldMaxTokens = "max_tokens"
)

var chatFields = []string{fieldModel, fieldStream, fieldMaxTokens}

// plain resolves a call of a plain service: the first segment of the path names
// the service, the rest is the path at the upstream.
func plain(r *pipe.Request) *problem.Problem {
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
	r.Idempotent = r.Service.Idempotent(r.Method, r.Path)
	r.ExpectedCost = plainCost
	return nil
}

// byHost resolves a call by its host and path, which the upstream gets unchanged.
func byHost(r *pipe.Request) *problem.Problem {
	route := r.Index.Route(r.Host, r.Path)
	if route == nil {
		return problem.New(problem.ReasonNotFound, "no route for "+strconv.Quote(r.Host+r.Path))
	}
	r.Service = r.Index.Service(route.Backend(rand.Float64()))
	if r.Service == nil {
		return problem.New(problem.ReasonNoUpstream, "route "+route.Name+" has no service")
	}
	r.Route = route
	r.Idempotent = route.Idempotent
	r.Streamed = route.Streamed
	r.MaxAttempts = route.MaxAttempts
	if r.ExpectedCost == 0 {
		r.ExpectedCost = plainCost
	}
	return nil
}

// hasDotSegment reports whether an upstream may take a path for another one, so
// that work which is not idempotent would pass for idempotent.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
