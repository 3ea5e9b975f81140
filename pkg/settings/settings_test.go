package settings

import (
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

func TestCheckReportsAllInvalidSettings(t *testing.T) {
	var s Entry
	if _, err := flags.NewParser(&s, flags.None).ParseArgs([]string{"--retry-ratio", "2", "--log-level", "loud"}); err != nil {
		t.Fatal(err)
	}
	err := s.Check()
	if err == nil {
		t.Fatal("Check accepted invalid settings")
	}
	for _, flag := range []string{"name", "failure-domain", "peer-token", "object-api", "host-list", "operator-token", "retry-ratio", "log-level"} {
		if !strings.Contains(err.Error(), "--"+flag+":") {
			t.Errorf("--%s is missing in the error %q", flag, err)
		}
	}
}
