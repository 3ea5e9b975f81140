package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// responseError reports a response that arrived but is not the one to its request.
type responseError struct {
	text string
	// looksComplete is true if nothing but the content of the response shows that.
	looksComplete bool
}

// Error implements error.
func (e *responseError) Error() string { return e.text }

func invalidf(format string, args ...any) error {
	return errors.WithStack(&responseError{fmt.Sprintf(format, args...), true})
}

// looksComplete reports whether a failed request had a response that looked complete.
func looksComplete(err error) bool {
	var e *responseError
	return errors.As(err, &e) && e.looksComplete
}

// promptWords are the words of the prompt. The simulated engine returns them in turn, each
// with the number of its token.
var promptWords = []string{"one", "two", "three"}

// tokenText returns the nth token of the response to a prompt with promptWords.
func tokenText(n int) string {
	return fmt.Sprintf("%s-%d ", promptWords[(n-1)%len(promptWords)], n)
}

// completion is the part of a completion that is read when it isn't streamed.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readCompletion reads a completion that is not streamed and checks its text.
func readCompletion(body io.Reader, want int) (response, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	var c completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return response{}, invalidf("the response is no completion: %v", err)
	}
	r := response{tokens: c.Usage.CompletionTokens}
	var text strings.Builder
	for n := 1; n <= want; n++ {
		text.WriteString(tokenText(n))
	}
	if len(c.Choices) != 1 || c.Choices[0].Message.Content != text.String() {
		return r, invalidf("the response is not the text of its %d tokens: %+v", want, c.Choices)
	}
	return r, checkTokenCount(r.tokens, want)
}

func checkTokenCount(got, want int) error {
	if got != want {
		return invalidf("the response has %d tokens, want %d", got, want)
	}
	return nil
}

// readEvents reads a streamed response to the end of its body and checks that it is complete
// and has each token once and in order.
func readEvents(body io.Reader, begin time.Time, want int) (response, error) {
	var r response
	failed, done := false, false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) > 0 && done {
			return r, invalidf("%q after the end marker", line)
		}
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok && len(line) > 0:
			return r, invalidf("%q in the stream", line)
		case !ok:
		case failed:
			r.refusal = &problem.Problem{}
			return r, errors.WithStack(json.Unmarshal(data, r.refusal))
		case string(data) == "[DONE]":
			done = true
		default:
			if r.tokens == 0 {
				r.timeToFirstToken = time.Since(begin)
			}
			r.tokens++
			if !bytes.Contains(data, []byte(`"`+tokenText(r.tokens)+`"`)) {
				return r, invalidf("%q instead of token %d", data, r.tokens)
			}
		}
	}
	switch {
	case lines.Err() != nil:
		return r, errors.Wrap(lines.Err(), "the stream broke off")
	case !done:
		return r, errors.New("the stream ended without [DONE]")
	default:
		return r, checkTokenCount(r.tokens, want)
	}
}
