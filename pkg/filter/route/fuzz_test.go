package route

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
)

// FuzzRequests checks that, for any input from a caller, a served chat completion requests
// a stream of the same model from the engine, and that only idempotent plain calls are
// treated as idempotent.
func FuzzRequests(f *testing.F) {
	f.Add("POST", PathChat, []byte(`{"model":"draft","max_tokens":5,"stream":false}`))
	f.Add("POST", PathChat, []byte(`{"model":"draft","model":"orders","MODEL":"draft"}`))
	f.Add("POST", PathChat, []byte(`{"model":"draft","max_tokens":1e400}`))
	f.Add("POST", PathChat, []byte("null"))
	f.Add("POST", "/services/orders/quotes/../confirm", []byte(nil))
	f.Add("POST", "/services/orders/quotes//./confirm", []byte(nil))
	f.Add("GET", "/services/", []byte(nil))
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		r := &pipe.Request{Index: index, Method: method, Path: path, Body: body}
		served := pipe.HandlerFunc(func(context.Context, *pipe.Request) error { return nil })
		if New(served).Serve(t.Context(), r) != nil {
			return
		}
		if path == PathChat {
			var sent map[string]json.RawMessage
			if json.Unmarshal(r.Body, &sent) != nil || string(sent["stream"]) != "true" || string(sent["model"]) != `"`+r.Service.Name+`"` {
				t.Errorf("%q is sent as %q to %s", body, r.Body, r.Service.Name)
			}
			return
		}
		quote := r.Path == "/quotes" || strings.HasPrefix(r.Path, "/quotes/")
		if r.Idempotent && !quote && method != "GET" && method != "HEAD" || strings.Contains(r.Path, "/../") {
			t.Errorf("%s %q is treated as idempotent", method, path)
		}
	})
}
