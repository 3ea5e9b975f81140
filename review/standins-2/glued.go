package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Shares of a replica that serves its channels itself.
const (
	// errorShare is the share of the requests that fail, as the site has it for `order-status`.
	errorShare = 0.14
	// extraShare is the share of the answers after which the replica begins a second answer, late.
	extraShare = 0.03
)

// rawReplica serves its channels itself, so that it can write more than its answers.
type rawReplica struct {
	plainConfig
	free chan struct{}
	// started is when the replica started.
	started time.Time
}

// isFaulty reports whether the replica is faulty now.
func (c *rawReplica) isFaulty() bool { return int(time.Since(c.started)/gluedOn)%2 == 1 }

// serve answers the requests of one channel, one after the other.
func (c *rawReplica) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	// extra holds the bytes of a second answer that are written as the next answer is due.
	var extra []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		out := c.answer(r)
		if len(extra) > 0 {
			fmt.Printf("%s writes %d bytes of a second answer before that to %s\n", c.ID, len(extra), r.Header.Get("X-Attempt-Id"))
		}
		if _, err := conn.Write(append(extra, out...)); err != nil {
			return
		}
		extra = nil
		if c.isFaulty() && rand.Float64() < c.Extra {
			// The second answer breaks off in one of its first two lines, after the status.
			first := len("HTTP/1.1 200")
			second := bytes.Index(out, []byte("\r\nContent-Type"))
			extra = bytes.Clone(out[:first+rand.IntN(second-first)])
		}
	}
}

// answer returns the whole answer to a request.
func (c *rawReplica) answer(r *http.Request) []byte {
	attempt := r.Header.Get("X-Attempt-Id")
	var out bytes.Buffer
	write := func(status int, more string, body []byte) {
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: text/plain\r\n%sX-Attempt-Id: %s\r\nX-Replica-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n",
			status, http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), more, attempt, len(c.free), plainSlots, len(body))
		out.Write(body)
	}
	switch expected := r.Header.Get("X-Expect-Replica"); {
	case r.URL.Path == "/health":
		write(http.StatusOK, "X-Replica-Id: "+c.ID+"\r\n", nil)
		return out.Bytes()
	case expected != "" && expected != c.ID:
		write(http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", nil)
		return out.Bytes()
	}
	select {
	case c.free <- struct{}{}:
		defer func() { <-c.free }()
	default:
		write(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", nil)
		return out.Bytes()
	}
	time.Sleep(c.Work)
	status, body := http.StatusOK, plainBody(attempt)
	if rand.Float64() < errorShare {
		status, body = http.StatusInternalServerError, failedBody(attempt)
	}
	fmt.Printf("%s runs %s: %d\n", c.ID, attempt, status)
	write(status, "X-Replica-Seal: "+seal(attempt)+"\r\n", body)
	return out.Bytes()
}

// failedBody returns the body of the answer to a request that has failed.
func failedBody(attempt string) []byte { return []byte("failed " + attempt + "\n") }

// Parameters of the case of a second answer that breaks off.
const (
	gluedPerSec   = 60
	gluedTime     = 60 * time.Second
	gluedReplicas = 5
	// gluedFaulty of the replicas are faulty, for gluedOn at a time, with as long between.
	gluedFaulty = 3
	gluedOn     = 5 * time.Second
)

// caseGlued lets the replicas of the plain service begin a second answer after some of their
// answers, late: as the next answer on the channel is due. It breaks off in its first two lines.
func caseGlued(d *deployment, trouble bool) (bool, string, error) {
	var list []*plainReplica
	defer func() {
		for _, p := range list {
			p.end()
		}
	}()
	for i := range gluedReplicas {
		c := plainConfig{Raw: true}
		if trouble && i < gluedFaulty {
			c.Extra = extraShare
		}
		p, err := d.startPlainWith(sideMachine(i), c)
		if err != nil {
			return false, "", err
		}
		list = append(list, p)
	}
	if _, err := d.startEntry(1); err != nil {
		return false, "", err
	}
	t := &tally{d: d}
	stop := t.load(pathStatus, http.MethodGet, gluedPerSec)
	time.Sleep(gluedTime)
	stop()
	return t.verdict("status requests")
}
