package route

import (
	"context"
	"errors"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

var index = table.NewIndex(&table.Table{Services: []table.Service{
	{Name: "draft", Kind: table.KindModel},
	{Name: "orders", Kind: table.KindPlain, IdempotentPaths: []string{"/quotes"}},
}})

// TestRoute checks which requests to models and plain services are refused and why, and
// the path, idempotency and expected cost of the others.
func TestRoute(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		reason             problem.Reason
		wantPath           string
		idempotent         bool
		cost               float64
	}{
		"chat":                {"POST", PathChat, `{"model":"draft","max_tokens":5}`, "", PathChat, true, 13},
		"chat without limit":  {"POST", PathChat, `{"model":"draft"}`, "", PathChat, true, 260},
		"plain model name":    {"POST", PathChat, `{"model":"orders"}`, problem.ReasonNotFound, "", false, 0},
		"array":               {"POST", PathChat, `[]`, problem.ReasonBadRequest, "", false, 0},
		"null":                {"POST", PathChat, `null`, problem.ReasonNotFound, "", false, 0},
		"negative limit":      {"POST", PathChat, `{"model":"draft","max_tokens":-1}`, problem.ReasonBadRequest, "", false, 0},
		"confirm":             {"POST", "/services/orders/confirm", "", "", "/confirm", false, 1},
		"declared idempotent": {"POST", "/services/orders/quotes/7", "", "", "/quotes/7", true, 1},
		"dot segment":         {"POST", "/services/orders/quotes/../confirm", "", problem.ReasonBadRequest, "", false, 0},
		"similar prefix":      {"POST", "/services/orders/quotes2", "", "", "/quotes2", false, 1},
		"read":                {"GET", "/services/orders/7", "", "", "/7", true, 1},
		"model as service":    {"GET", "/services/draft/7", "", problem.ReasonNotFound, "", false, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := &pipe.Request{Index: index, Method: tc.method, Path: tc.path, Body: []byte(tc.body)}
			err := New(pipe.HandlerFunc(func(context.Context, *pipe.Request) error { return nil })).Serve(t.Context(), r)
			var p *problem.Problem
			if errors.As(err, &p) {
				if p.Reason != tc.reason || p.Ran != problem.RanNo {
					t.Fatalf("refused with %s, ran %s", p.Reason, p.Ran)
				}
				return
			}
			if tc.reason != "" {
				t.Fatalf("served, want a refusal with %s", tc.reason)
			}
			if r.Path != tc.wantPath || r.Idempotent != tc.idempotent || r.ExpectedCost != tc.cost {
				t.Errorf("got path %s, idempotent %t, cost %v", r.Path, r.Idempotent, r.ExpectedCost)
			}
		})
	}
}
