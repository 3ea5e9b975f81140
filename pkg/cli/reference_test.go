package cli_test

import (
	"bytes"
	"io"
	"os"
	"testing"

	"github.com/acaciaglade/acaciaglade/pkg/cli"
	"github.com/acaciaglade/acaciaglade/platform"
)

// The generated pages must match the flags and reasons in the code. Regenerate a page
// with: go run ./cmd/acaciaglade config COMMAND > PAGE
func TestGeneratedPagesAreCurrent(t *testing.T) {
	for _, page := range []struct {
		file, command string
		write         func(io.Writer) error
	}{
		{"docs/SETTINGS.md", "reference", func(w io.Writer) error { return cli.WriteReference(w, platform.EntryCommand()) }},
		{"docs/REFUSALS.md", "refusals", cli.WriteRefusals},
	} {
		want, err := os.ReadFile("../../" + page.file)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := page.write(&got); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s is not current; run: go run ./cmd/acaciaglade config %s > %s", page.file, page.command, page.file)
		}
	}
}
