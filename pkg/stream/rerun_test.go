package stream

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// TestRerunRelaysOnlyNewFrames checks that a second and a third run relay only the frames
// that the caller does not have, also if the second run aborts before it reaches them.
func TestRerunRelaysOnlyNewFrames(t *testing.T) {
	v := NewVerifier("r")
	relayed := ""
	run := func(parts ...string) error {
		if _, err := v.Accept(&api.Frame{Kind: api.FrameHeader, RequestID: "r"}); err != nil {
			return err
		}
		for i, part := range parts {
			fresh, err := v.Accept(&api.Frame{Kind: api.FrameData, RequestID: "r", Seq: i + 1, Data: []byte(part)})
			if err != nil {
				return err
			}
			if fresh {
				relayed += part
			}
		}
		return nil
	}
	for _, parts := range [][]string{{"a", "b", "c"}, {"a", "b"}, {"a", "b", "c", "d"}} {
		if err := run(parts...); err != nil {
			t.Fatal(err)
		}
		v.StartRerun()
	}
	if relayed != "abcd" {
		t.Errorf("relayed %q", relayed)
	}
	short := NewChecksum()
	short.Add([]byte("a"))
	if err := run("a"); err != nil {
		t.Fatal(err)
	}
	_, err := v.Accept(&api.Frame{Kind: api.FrameFinal, RequestID: "r", Outcome: api.OutcomeComplete, Count: 1, Checksum: short.Sum()})
	if !errors.Is(err, ErrRerunDiffers) {
		t.Errorf("a shorter response: %v", err)
	}
	v.StartRerun()
	if err := run("a", "x", "c", "d"); !errors.Is(err, ErrRerunDiffers) {
		t.Errorf("a different response: %v", err)
	}
}
