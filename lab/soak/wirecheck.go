package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// checkWire checks what holds for every response: it belongs to the request, and a success
// has the upstream's signature. It returns false for a response that must not be looked at
// any further.
func (c *checker) checkWire(r *request, resp *wireResponse) bool {
	id, seal := resp.header.Get("X-Attempt-Id"), resp.header.Get("X-Replica-Seal")
	isSuccess := resp.status < http.StatusMultipleChoices
	if id != "" && id != r.id || seal != "" && seal != signature(r.id) || isSuccess && (id == "" || seal == "") {
		c.RecordViolation("request %s received a response %d with the signature %q of request %q%s", r.id, resp.status, seal, id, c.history(r))
		return false
	}
	return true
}

// checkBody checks the body of a response with the status 200.
func (c *checker) checkBody(r *request, resp *wireResponse, stream bool) {
	fault := bodyFault(r, resp, stream)
	if fault != "" && resp.ending == endedWithConnection && !c.entriesHealthy(r.sentAt, time.Now()) {
		// The kernel ends the connections of a killed process regularly.
		aborted := *resp
		aborted.ending = endedEarly
		resp, fault = &aborted, bodyFault(r, &aborted, stream)
	}
	switch {
	case fault != "":
		c.RecordViolation("request %s: %s%s", r.id, fault, c.history(r))
	case resp.ending == endedEarly:
		c.CountOutcome("aborted")
	default:
		c.RecordServed(r)
	}
}

// bodyFault describes what is wrong with a body or its end, or returns an empty string.
func bodyFault(r *request, resp *wireResponse, stream bool) string {
	if stream {
		return streamFault(r.id, resp)
	}
	return plainFault(r, resp)
}

// streamFault describes what is wrong with a stream, or returns an empty string. Events must
// be the request's own, without gap, repeat or fault in their order, and all of them must
// have arrived if the response ended as complete.
func streamFault(id string, resp *wireResponse) string {
	rest := resp.body
	for n := 1; n <= events; n++ {
		want := []byte(streamEvent(id, n))
		if after, ok := bytes.CutPrefix(rest, want); ok {
			rest = after
			continue
		}
		switch isPartial := bytes.HasPrefix(want, rest); {
		case !isPartial:
			return unexpectedEvent(n, rest)
		case resp.ending == endedEarly:
			return ""
		case len(rest) > 0:
			return fmt.Sprintf("the stream ended as complete %s within event %d of %d", resp.ending, n, events)
		default:
			return fmt.Sprintf("the stream ended as complete %s after %d of %d events", resp.ending, n-1, events)
		}
	}
	if len(rest) > 0 {
		return unexpectedEvent(events+1, rest)
	}
	return ""
}

// unexpectedEvent describes what arrived in a stream instead of its nth event.
func unexpectedEvent(n int, rest []byte) string {
	var got int
	if _, err := fmt.Sscanf(string(shorten(rest)), "id: %d\n", &got); err != nil {
		return fmt.Sprintf("bytes that are no event of the request after event %d: %q", n-1, shorten(rest))
	}
	switch {
	case n > events:
		return fmt.Sprintf("event %d followed the last one, event %d", got, events)
	case got < n:
		return fmt.Sprintf("event %d came again after event %d", got, n-1)
	case got > n:
		return fmt.Sprintf("event %d is missing: event %d followed event %d", n, got, n-1)
	default:
		return fmt.Sprintf("event %d is of another request: %q", n, shorten(rest))
	}
}

// plainFault describes what is wrong with the body of plain work, or returns an empty
// string.
func plainFault(r *request, resp *wireResponse) string {
	want := []byte(plainBody(r.id, r.bodyBytes))
	switch {
	case bytes.Equal(resp.body, want) && resp.ending != endedEarly, bytes.HasPrefix(want, resp.body) && resp.ending == endedEarly:
		return ""
	case bytes.HasPrefix(want, resp.body):
		return fmt.Sprintf("the response ended as complete %s after %d of %d bytes", resp.ending, len(resp.body), len(want))
	default:
		n := 0
		for n < min(len(want), len(resp.body)) && want[n] == resp.body[n] {
			n++
		}
		return fmt.Sprintf("bytes that are no part of the response after %d of %d bytes: %q", n, len(want), shorten(resp.body[n:]))
	}
}

// RecordAnswer records what an upstream sends in answer to an attempt that is broken off or
// follows one that was, for the messages of violations.
func (c *checker) RecordAnswer(id, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.requests[id]; ok {
		r.answers = append(r.answers, text)
	}
}

// history returns what upstreams sent in answer to the attempts of a request.
func (c *checker) history(r *request) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.answers) == 0 {
		return ""
	}
	return " (upstreams sent " + strings.Join(r.answers, ", then ") + ")"
}
