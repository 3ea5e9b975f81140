package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ending is how a response ended, as its caller sees it.
type ending string

// Endings. A response with any but endedEarly is complete.
const (
	endedWithHeader     ending = "with its header"
	endedByLength       ending = "at its length"
	endedByLastChunk    ending = "with its last chunk"
	endedWithConnection ending = "with the connection"
	// endedEarly is a response of which the connection ended or was reset, or for which the
	// caller stopped waiting, before its end.
	endedEarly ending = "early"
)

// wireResponse is a response as it arrived on a connection.
type wireResponse struct {
	status int
	header http.Header
	body   []byte
	ending ending
	// keepsConnection is true if another request may be sent on the connection.
	keepsConnection bool
}

// framingError reports bytes that are no response of HTTP, or whose end is ambiguous.
type framingError struct{ text string }

// Error implements error.
func (e *framingError) Error() string { return e.text }

// wireConn is a connection of a caller. A client of net/http would hide how a response
// is framed and how it ends.
type wireConn struct {
	net.Conn
	reader *bufio.Reader
}

// idlePeekTime is how long an idle connection is read to see whether it has ended.
const idlePeekTime = time.Millisecond

// checkIdle reports whether another request may be sent on an idle connection. A
// framingError means that bytes have arrived that belong to no request.
func (c *wireConn) checkIdle() (bool, error) {
	if err := c.SetReadDeadline(time.Now().Add(idlePeekTime)); err != nil {
		return false, nil
	}
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Is(err, os.ErrDeadlineExceeded), nil
	}
	extra, _ := c.reader.Peek(c.reader.Buffered())
	return false, &framingError{fmt.Sprintf("%q on a connection on which no request waits", shorten(extra))}
}

// exchange sends a request and reads the response. A framingError means that no valid
// response arrived, any other error that none arrived at all.
func (c *wireConn) exchange(ctx context.Context, request string, isHTTP10 bool) (*wireResponse, error) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return nil, errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := io.WriteString(c, request); err != nil {
		return nil, errors.WithStack(err)
	}
	return readWireResponse(c.reader, isHTTP10)
}

// readWireResponse reads a response.
func readWireResponse(in *bufio.Reader, isHTTP10 bool) (*wireResponse, error) {
	for {
		resp, err := readWireHeader(in)
		if err != nil {
			return nil, err
		}
		if resp.status >= http.StatusOK {
			return resp, resp.readBody(in, isHTTP10)
		}
		if isHTTP10 {
			return nil, &framingError{fmt.Sprintf("an informational response %d to an HTTP/1.0 request", resp.status)}
		}
	}
}

// readWireHeader reads the status line and the header.
func readWireHeader(in *bufio.Reader) (*wireResponse, error) {
	line, err := in.ReadString('\n')
	if err != nil && line == "" {
		return nil, errors.WithStack(err)
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimRight(rest, "\r\n"), " ")
	status, statusErr := strconv.Atoi(code)
	if err == nil && (version != "HTTP/1.1" && version != "HTTP/1.0" || statusErr != nil || status < 100 || status > 599) {
		return nil, &framingError{fmt.Sprintf("%q instead of a status line", shorten([]byte(line)))}
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	header, err := textproto.NewReader(in).ReadMIMEHeader()
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return nil, &framingError{fmt.Sprintf("a header that can't be read: %v", err)}
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	keeps := version == "HTTP/1.1" && !strings.EqualFold(header.Get("Connection"), "close")
	return &wireResponse{status: status, header: http.Header(header), keepsConnection: keeps}, nil
}

// readBody reads the body and how it ends. The error is nil or a framingError: a body that
// ends early is recorded as such.
func (w *wireResponse) readBody(in *bufio.Reader, isHTTP10 bool) error {
	codings, lengths := w.header.Values("Transfer-Encoding"), w.header.Values("Content-Length")
	chunked := len(codings) == 1 && strings.EqualFold(codings[0], "chunked")
	switch {
	case len(codings) > 0 && (!chunked || isHTTP10):
		return &framingError{fmt.Sprintf("the transfer coding %q", codings)}
	case len(codings) > 0 && len(lengths) > 0 || len(lengths) > 1:
		return &framingError{fmt.Sprintf("a body with the transfer coding %q and the length %q", codings, lengths)}
	case w.status == http.StatusNoContent || w.status == http.StatusNotModified:
		w.ending = endedWithHeader
		return nil
	case chunked:
		return w.readChunks(in)
	case len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil {
			return &framingError{fmt.Sprintf("the length %q", lengths[0])}
		}
		w.ending = endedByLength
		w.readPart(in, int64(length))
		return nil
	}
	w.keepsConnection = false
	body, err := io.ReadAll(in)
	w.body, w.ending = body, endedWithConnection
	if err != nil {
		w.ending = endedEarly
	}
	return nil
}

// readPart appends the next bytes to the body. It returns false if the body ends early.
func (w *wireResponse) readPart(in *bufio.Reader, length int64) bool {
	part, err := io.ReadAll(io.LimitReader(in, length))
	w.body = append(w.body, part...)
	if err != nil || int64(len(part)) < length {
		w.ending, w.keepsConnection = endedEarly, false
		return false
	}
	return true
}

// readChunks reads the chunks of a body and the trailer.
func (w *wireResponse) readChunks(in *bufio.Reader) error {
	w.ending = endedByLastChunk
	for {
		line, ok := w.readLine(in)
		if !ok {
			return nil
		}
		digits, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return &framingError{fmt.Sprintf("%q instead of the size of a chunk", shorten([]byte(line)))}
		}
		if size == 0 {
			break
		}
		if !w.readPart(in, int64(size)) {
			return nil
		}
		if line, ok := w.readLine(in); !ok || line != "" {
			if !ok {
				return nil
			}
			return &framingError{fmt.Sprintf("%q after a chunk", shorten([]byte(line)))}
		}
	}
	for {
		if line, ok := w.readLine(in); !ok || line == "" {
			return nil
		}
	}
}

// readLine reads a line of the framing. It returns false if the body ends early.
func (w *wireResponse) readLine(in *bufio.Reader) (string, bool) {
	line, err := in.ReadString('\n')
	if err != nil {
		w.ending, w.keepsConnection = endedEarly, false
		return "", false
	}
	return strings.TrimRight(line, "\r\n"), true
}

// maxShownBytes limits how much of unexpected bytes a violation shows.
const maxShownBytes = 120

func shorten(b []byte) []byte { return b[:min(len(b), maxShownBytes)] }
