package stream

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
)

// ErrLineTooLong means that a line exceeds the limit of its reader.
var ErrLineTooLong = errors.New("a line does not end; drop the connection and look at what sends it")

// LineReader reads lines up to a length, so that bytes without a line end are not kept.
type LineReader struct {
	in *bufio.Reader
	// max is the length of the longest line in bytes.
	max  int
	line []byte
}

// NewLineReader returns a reader of lines of at most max bytes.
func NewLineReader(in io.Reader, max int) *LineReader {
	return &LineReader{in: bufio.NewReader(in), max: max}
}

// Next returns the next line with its line end, which is valid until the next call. Bytes after
// the last line end are no line: it returns io.EOF, or the error of the reader.
func (l *LineReader) Next() ([]byte, error) {
	l.line = l.line[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		if len(l.line)+len(part) > l.max {
			return nil, ErrLineTooLong
		}
		if err == nil && len(l.line) == 0 {
			return part, nil
		}
		l.line = append(l.line, part...)
		if err == nil {
			return l.line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, errors.WithStack(err)
		}
	}
}
