package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a caller's connection to an entry.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReader(c)}, nil
}

// answer is what a caller has received.
type answer struct {
	status int
	header http.Header
	body   []byte
	// closes is true if the channel must not be used again.
	closes bool
	// err is why the answer is not complete, nil if it is.
	err error
}

func (a *answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case a.err != nil:
		return fmt.Sprintf("status %d, cut after %d bytes (%v)", a.status, len(a.body), a.err)
	default:
		return fmt.Sprintf("status %d, complete, %d bytes", a.status, len(a.body))
	}
}

// request describes a caller's request.
type request struct {
	id, method, path, key string
	body                  string
	timeout               time.Duration
	header                []string
}

// bytes returns the request as it is sent.
func (q *request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.key, q.timeout.Milliseconds())
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// exchange sends a request and reads the answer until the caller's time is over.
func (c *channel) exchange(q *request) *answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout))
	if _, err := io.WriteString(c.conn, q.bytes()); err != nil {
		return &answer{err: err}
	}
	return c.read(q)
}

// read reads one answer.
func (c *channel) read(q *request) *answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return &answer{err: err}
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, closes: resp.Close}
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
