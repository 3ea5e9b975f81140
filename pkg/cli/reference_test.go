package cli

import (
	"bytes"
	"os"
	"testing"
)

// TestSettingsReferenceIsCurrent compares docs/SETTINGS.md with the flags. Write
// the page anew with: go run ./cmd/acaciaglade config reference > docs/SETTINGS.md
func TestSettingsReferenceIsCurrent(t *testing.T) {
	want, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := WriteReference(&got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Error("docs/SETTINGS.md is not current; run: go run ./cmd/acaciaglade config reference > docs/SETTINGS.md")
	}
}
