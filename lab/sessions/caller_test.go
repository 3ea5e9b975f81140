package sessions

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/session"
)

// mustCall makes and records a call. It fails the test if no complete response
// arrives.
func mustCall(t *testing.T, r *session.Recorder, c session.Call) (int, []byte) {
	t.Helper()
	status, body, err := r.Do(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

// TestCallerVisit records the responses to valid and invalid requests without failures.
func TestCallerVisit(t *testing.T) {
	d := startDeployment(t, deploy.Config{Entries: 1, Models: 1, Orders: 1})
	entry, token := d.Entries[0].URL(), demo.Token("franchise")
	chat := entry + "/v1/chat/completions"
	confirm := entry + "/services/orders/orders/confirm"
	r := &session.Recorder{}

	r.Note("a streamed completion")
	mustCall(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":"draft","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"happy birthday"}]}`})
	r.Note("the same completion without streaming")
	mustCall(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":"draft","max_tokens":3,"messages":[{"role":"user","content":"happy birthday"}]}`})
	r.Note("an unknown token")
	mustCall(t, r, session.Call{Method: "POST", URL: chat, Token: "nobody", Body: `{"model":"draft","messages":[]}`})
	r.Note("an unknown model")
	mustCall(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":"poet","messages":[]}`})
	r.Note("a body that is not JSON")
	mustCall(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":`})
	r.Note("an invalid deadline")
	mustCall(t, r, session.Call{Method: "POST", URL: chat, Token: token, Header: []string{"X-Deadline-Ms", "soon"}, Body: `{"model":"draft"}`})
	r.Note("a call that is not idempotent, and its resend with the same key")
	mustCall(t, r, session.Call{Method: "POST", URL: confirm, Token: token, Header: []string{"Idempotency-Key", "order-1"}, Body: `{"item":"balloons"}`})
	mustCall(t, r, session.Call{Method: "POST", URL: confirm, Token: token, Header: []string{"Idempotency-Key", "order-1"}, Body: `{"item":"balloons"}`})
	r.Note("the same key with another body")
	mustCall(t, r, session.Call{Method: "POST", URL: confirm, Token: token, Header: []string{"Idempotency-Key", "order-1"}, Body: `{"item":"cards"}`})
	r.Note("an idempotent call")
	mustCall(t, r, session.Call{Method: "GET", URL: entry + "/services/orders/orders/17", Token: token})
	r.Note("the orders that the order service ran")
	mustCall(t, r, session.Call{Method: "GET", URL: d.Upstreams[1].URL() + "/lab/journal"})
	assertGolden(t, r)
}
