package sessions

import (
	"testing"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/session"
)

// call makes a call whose answer must arrive.
func call(t *testing.T, r *session.Recorder, c session.Call) (int, []byte) {
	t.Helper()
	status, body, err := r.Do(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

func TestCallerVisit(t *testing.T) {
	d := start(t, deploy.Config{Entries: 1, Models: 1, Orders: 1})
	entry, token := d.Entries[0].URL(), demo.Token("franchise")
	chat := entry + "/v1/chat/completions"
	confirm := entry + "/services/orders/orders/confirm"
	r := &session.Recorder{}

	r.Note("a streamed completion")
	call(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":"draft","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"happy birthday"}]}`})
	r.Note("the same in one piece")
	call(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":"draft","max_tokens":3,"messages":[{"role":"user","content":"happy birthday"}]}`})
	r.Note("an unknown token")
	call(t, r, session.Call{Method: "POST", URL: chat, Token: "nobody", Body: `{"model":"draft","messages":[]}`})
	r.Note("an unknown model")
	call(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":"poet","messages":[]}`})
	r.Note("a body that is not JSON")
	call(t, r, session.Call{Method: "POST", URL: chat, Token: token, Body: `{"model":`})
	r.Note("a deadline that can't be used")
	call(t, r, session.Call{Method: "POST", URL: chat, Token: token, Header: []string{"X-Deadline-Ms", "soon"}, Body: `{"model":"draft"}`})
	r.Note("a call that is not idempotent, and its resend with the same key")
	call(t, r, session.Call{Method: "POST", URL: confirm, Token: token, Header: []string{"Idempotency-Key", "order-1"}, Body: `{"item":"balloons"}`})
	call(t, r, session.Call{Method: "POST", URL: confirm, Token: token, Header: []string{"Idempotency-Key", "order-1"}, Body: `{"item":"balloons"}`})
	r.Note("the same key with another body")
	call(t, r, session.Call{Method: "POST", URL: confirm, Token: token, Header: []string{"Idempotency-Key", "order-1"}, Body: `{"item":"cards"}`})
	r.Note("an idempotent call")
	call(t, r, session.Call{Method: "GET", URL: entry + "/services/orders/orders/17", Token: token})
	r.Note("what the order service ran")
	call(t, r, session.Call{Method: "GET", URL: d.Upstreams[1].URL() + "/lab/journal"})
	golden(t, r)
}
