package intake

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestServersAreMadeInOnePlace guards against a listener without the limits of a gate: servers
// are made only by server.NewHTTP.
func TestServersAreMadeInOnePlace(t *testing.T) {
	made := regexp.MustCompile(`http\.Server\{|http\.(ListenAnd)?Serve(TLS)?\(|\.Start\(":`)
	allowed := filepath.Join("pkg", "server", "http.go")
	root := filepath.Join("..", "..")
	for _, folder := range []string{"cmd", "pkg", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err == nil && made.Match(text) && !strings.HasSuffix(path, allowed) {
				t.Errorf("%s makes a server of its own; use server.NewHTTP", path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
