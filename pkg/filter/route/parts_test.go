package route

import (
	"encoding/json"
	"slices"
	"testing"
)

// TestSharedPartsOfMessages checks that the same message is the same part in any prompt and
// notation, and that the last message is none.
func TestSharedPartsOfMessages(t *testing.T) {
	parts := func(messages string) []string { return sharedParts(json.RawMessage(messages)) }
	system := `{"role":"system","content":"be brief"}`
	first := parts(`[` + system + `,{"role":"user","content":"a"}]`)
	if len(first) != 1 {
		t.Fatalf("%d parts", len(first))
	}
	second := parts(`[ { "role": "system", "content": "be brief" }, {"role":"user","content":"b"}, {"role":"user","content":"c"}]`)
	if len(second) != 2 || second[0] != first[0] || second[1] == first[0] {
		t.Errorf("%s and %s", first, second)
	}
	if got := parts(`[` + system + `,` + system + `,` + system + `]`); !slices.Equal(got, first) {
		t.Errorf("repeated messages: %s", got)
	}
	for _, messages := range []string{``, `[]`, `[` + system + `]`, `{}`, `"x"`, `null`} {
		if got := parts(messages); len(got) > 0 {
			t.Errorf("%s: %s", messages, got)
		}
	}
}
