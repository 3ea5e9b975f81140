package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// framing is how an upstream frames a body.
type framing string

const (
	framedByChunks     framing = "in chunks"
	framedByLength     framing = "with a length"
	framedByConnection framing = "without a length"
)

// cut is how a response is cut off.
type cut string

const (
	notCut   cut = ""
	cutByEnd cut = "the end of the connection"
	cutReset cut = "a reset"
)

// responseBreak is how an upstream breaks a response off. A body without a length must not
// end regularly between two events, as nobody can tell that it is not whole.
type responseBreak struct {
	framing framing
	cut     cut
	// inEvent is true if the response breaks off within an event, not between two.
	inEvent bool
}

var streamBreaks = []responseBreak{
	{framedByChunks, cutReset, true},
	{framedByChunks, cutReset, false},
	{framedByChunks, cutByEnd, true},
	{framedByChunks, cutByEnd, false},
	{framedByLength, cutReset, true},
	{framedByLength, cutByEnd, false},
	{framedByConnection, cutReset, true},
	{framedByConnection, cutReset, false},
	{framedByConnection, cutByEnd, true},
}

// plainBreaks are those of large responses that are not streamed.
var plainBreaks = []responseBreak{
	{framedByChunks, cutReset, false},
	{framedByChunks, cutByEnd, false},
	{framedByLength, cutReset, false},
	{framedByLength, cutByEnd, false},
	{framedByConnection, cutReset, false},
}

// String implements fmt.Stringer.
func (b responseBreak) String() string {
	where := "between events"
	if b.inEvent {
		where = "within an event"
	}
	return fmt.Sprintf("a body %s, broken off %s by %s", b.framing, where, b.cut)
}

// answer is what an upstream answers to an attempt that follows one that broke off.
type answer struct {
	name   string
	status int
	// notRun states in the header that the request did not run.
	notRun bool
	// text is the body, unless the answer is a stream.
	text string
	// stream returns the number of the first event, where next is the one that is due, and
	// whether any follows. It is nil for answers that are no stream.
	stream  func(next int) (first int, follows bool)
	framing framing
	cut     cut
}

const (
	errorText = `{"error":"the upstream failed"}`
	// errorEvent is an event without an ID.
	errorEvent = "event: error\ndata: " + errorText + "\n\n"
)

func fromNext(next int) (int, bool)  { return next, true }
func fromStart(int) (int, bool)      { return 1, true }
func afterNext(next int) (int, bool) { return next + 1, true }
func withoutEvents(int) (int, bool)  { return 0, false }

// plainAnswers are the answers that are no stream.
var plainAnswers = []answer{
	{name: "an error", status: 500, text: errorText, framing: framedByLength},
	{name: "an error in chunks", status: 500, text: errorText, framing: framedByChunks},
	{name: "an error without a length", status: 500, text: errorText, framing: framedByConnection},
	{name: "an error without a body", status: 500, framing: framedByLength},
	{name: "an error that is cut off", status: 500, text: errorText, framing: framedByChunks, cut: cutByEnd},
	{name: "a rejection", status: 400, text: errorText, framing: framedByLength},
	{name: "no content", status: 204},
	{name: "another success", status: 202, text: errorText, framing: framedByLength},
	{name: "a redirect", status: 307, framing: framedByLength},
	{name: "a refusal as not run", status: 503, notRun: true, framing: framedByLength},
	{name: "a refusal", status: 503, text: errorText, framing: framedByLength},
}

// streamAnswers are the answers that only follow a stream, three of them right ones.
var streamAnswers = []answer{
	{name: "a success that is no stream", status: 200, text: errorText, framing: framedByLength},
	{name: "an error event", status: 200, text: errorEvent, framing: framedByChunks},
	{name: "an empty stream in chunks", status: 200, stream: withoutEvents, framing: framedByChunks},
	{name: "an empty stream without a length", status: 200, stream: withoutEvents, framing: framedByConnection},
	{name: "an empty stream with a length", status: 200, stream: withoutEvents, framing: framedByLength},
	{name: "a stream from its start", status: 200, stream: fromStart, framing: framedByChunks},
	{name: "a stream that skips an event", status: 200, stream: afterNext, framing: framedByChunks},
	{name: "a stream that is cut off before its first event", status: 200, stream: withoutEvents, framing: framedByChunks, cut: cutByEnd},
	{name: "a stream that is reset before its first event", status: 200, stream: withoutEvents, framing: framedByConnection, cut: cutReset},
	{name: "the rest in chunks", status: 200, stream: fromNext, framing: framedByChunks},
	{name: "the rest with a length", status: 200, stream: fromNext, framing: framedByLength},
	{name: "the rest without a length", status: 200, stream: fromNext, framing: framedByConnection},
}

// deck draws from a list at random, each element once before any of them again.
type deck[T any] struct {
	cards []T
	left  []int
}

func (d *deck[T]) draw(r *rand.Rand) T {
	if len(d.left) == 0 {
		d.left = r.Perm(len(d.cards))
	}
	card := d.cards[d.left[0]]
	d.left = d.left[1:]
	return card
}

// breaker draws how upstreams break responses off and answer the next attempts.
type breaker struct {
	mu            sync.Mutex
	rand          *rand.Rand
	streamBreaks  deck[responseBreak]
	plainBreaks   deck[responseBreak]
	streamAnswers deck[answer]
	plainAnswers  deck[answer]
}

func newBreaker(r *rand.Rand) *breaker {
	return &breaker{
		rand:          rand.New(rand.NewPCG(r.Uint64(), 5)),
		streamBreaks:  deck[responseBreak]{cards: streamBreaks},
		plainBreaks:   deck[responseBreak]{cards: plainBreaks},
		streamAnswers: deck[answer]{cards: append(append([]answer{}, plainAnswers...), streamAnswers...)},
		plainAnswers:  deck[answer]{cards: plainAnswers},
	}
}

// breakResponses makes all upstreams break responses off and answer the next attempts
// wrongly. The returned function ends that.
func (d *deployment) breakResponses(b *breaker) func() {
	set := func(b *breaker) {
		for _, u := range d.upstreams {
			u.mu.Lock()
			u.faults.breaker = b
			u.mu.Unlock()
		}
	}
	set(b)
	return func() { set(nil) }
}

// serveBrokenStream breaks a stream off, or answers an attempt that resumes one.
func (u *upstream) serveBrokenStream(w http.ResponseWriter, r *http.Request, attempt string, b *breaker) {
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		next, _ := strconv.Atoi(last)
		b.mu.Lock()
		a := b.streamAnswers.draw(b.rand)
		b.mu.Unlock()
		u.serveAnswer(w, r, attempt, a, next+1)
		return
	}
	b.mu.Lock()
	broken, whole := b.streamBreaks.draw(b.rand), b.rand.IntN(events)
	b.mu.Unlock()
	u.recordRun(r, attempt)
	parts := []string{}
	for n := 1; n <= whole; n++ {
		parts = append(parts, streamEvent(attempt, n))
	}
	if next := streamEvent(attempt, whole+1); broken.inEvent {
		parts = append(parts, next[:len(next)/2])
	}
	u.checker.RecordAnswer(attempt, fmt.Sprintf("%d whole events of %s", whole, broken))
	writeRaw(w, &rawResponse{attempt: attempt, status: http.StatusOK, isStream: true, framing: broken.framing, cut: broken.cut, parts: parts, length: events * len(streamEvent(attempt, events))})
}

// serveBrokenPlain breaks a large response off, or answers an attempt that follows one that
// broke off. It returns false for requests that it leaves alone.
func (u *upstream) serveBrokenPlain(w http.ResponseWriter, r *http.Request, attempt string, b *breaker) bool {
	size := requestedBytes(r)
	if size == 0 {
		return false
	}
	if u.checker.runCount(attempt) > 0 {
		b.mu.Lock()
		a := b.plainAnswers.draw(b.rand)
		b.mu.Unlock()
		u.serveAnswer(w, r, attempt, a, 0)
		return true
	}
	b.mu.Lock()
	broken, left := b.plainBreaks.draw(b.rand), 1+b.rand.IntN(size/2)
	b.mu.Unlock()
	u.recordRun(r, attempt)
	body := plainBody(attempt, size)
	part := body[:len(body)-left]
	u.checker.RecordAnswer(attempt, fmt.Sprintf("%d of %d bytes %s, broken off by %s", len(part), len(body), broken.framing, broken.cut))
	writeRaw(w, &rawResponse{attempt: attempt, status: http.StatusOK, framing: broken.framing, cut: broken.cut, parts: []string{part}, length: len(body)})
	return true
}

// serveAnswer writes an answer. next is the number of the event that is due.
func (u *upstream) serveAnswer(w http.ResponseWriter, r *http.Request, attempt string, a answer, next int) {
	u.checker.RecordAnswer(attempt, a.name)
	if !a.notRun {
		u.recordRun(r, attempt)
	}
	out := &rawResponse{attempt: attempt, status: a.status, notRun: a.notRun, isStream: a.stream != nil || a.text == errorEvent, framing: a.framing, cut: a.cut}
	if a.text != "" {
		out.parts = []string{a.text}
	}
	if a.stream != nil {
		if first, follows := a.stream(next); follows {
			for n := first; n <= events; n++ {
				out.parts = append(out.parts, streamEvent(attempt, n))
			}
		}
	}
	out.length = len(strings.Join(out.parts, ""))
	writeRaw(w, out)
}

// rawResponse is a response that an upstream writes with a framing of its own.
type rawResponse struct {
	attempt  string
	status   int
	notRun   bool
	isStream bool
	framing  framing
	cut      cut
	parts    []string
	// length is the length that the header names, if the body is framed by one.
	length int
}

// partPause is the pause after each part of a stream.
const partPause = 10 * time.Millisecond

// writeRaw writes a response and then closes the connection, unless the response is whole
// and has a length or chunks.
func writeRaw(w http.ResponseWriter, resp *rawResponse) {
	h := w.Header()
	if resp.notRun {
		h.Set("X-Not-Executed", "1")
	} else {
		h.Set("X-Replica-Seal", signature(resp.attempt))
	}
	if resp.status == http.StatusTemporaryRedirect {
		h.Set("Location", "/elsewhere")
	}
	h.Set("Content-Type", "application/json")
	if resp.isStream {
		h.Set("Content-Type", "text/event-stream")
	}
	if resp.framing == framedByLength {
		h.Set("Content-Length", strconv.Itoa(resp.length))
	}
	if resp.cut == notCut && resp.framing != framedByConnection {
		w.WriteHeader(resp.status)
		if resp.framing == framedByChunks {
			w.(http.Flusher).Flush()
		}
		resp.writeParts(w, func(part string) string { return part }, w.(http.Flusher).Flush)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	encode := func(part string) string { return part }
	if resp.framing == framedByChunks {
		h.Set("Transfer-Encoding", "chunked")
		encode = func(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }
	}
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n", resp.status, http.StatusText(resp.status))
	if h.Write(conn) != nil {
		return
	}
	_, _ = io.WriteString(conn, "\r\n")
	resp.writeParts(conn, encode, func() {})
	if resp.cut == cutReset {
		// A reset may overtake what is still to be sent.
		time.Sleep(partPause)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// writeParts writes the parts of a body. The caller of the request may leave at any time.
func (resp *rawResponse) writeParts(w io.Writer, encode func(string) string, flush func()) {
	for _, part := range resp.parts {
		if _, err := io.WriteString(w, encode(part)); err != nil {
			return
		}
		flush()
		if resp.isStream {
			time.Sleep(partPause)
		}
	}
}
