package abuse

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Size of the crowds.
const (
	// crowdSize is the number of clients that send bodies, headCrowd that of clients that send
	// long heads, fieldCrowd that of clients that send heads within the limit, and
	// connectionCrowd that of clients that only open connections.
	crowdSize       = 60
	headCrowd       = 120
	fieldCrowd      = 250
	connectionCrowd = 1000
	// crowdTime is how long a crowd goes on. A client whose connection is closed opens another
	// one until then.
	crowdTime = 2 * time.Second
	// reconnectPause is the pause before it.
	reconnectPause = 20 * time.Millisecond
)

// talk is what a client writes to a connection. It returns at the latest when writing fails.
type talk func(c net.Conn, client int)

// crowd is a number of clients at one listener.
type crowd struct {
	address  string
	deadline time.Time
	wg       sync.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]bool
	closed   bool
	answers  [6]atomic.Int64
}

// startCrowd starts clients, each of which goes on to use its connection until the crowd ends.
func startCrowd(address string, size int, say talk) *crowd {
	c := &crowd{address: address, deadline: time.Now().Add(crowdTime), open: make(map[net.Conn]bool)}
	for client := range size {
		c.wg.Go(func() {
			for time.Now().Before(c.deadline) {
				c.connect(client, say)
				time.Sleep(reconnectPause)
			}
		})
	}
	return c
}

// connect opens one connection, writes to it and reads what is answered. The connection stays
// open when the crowd's time is over.
func (c *crowd) connect(client int, say talk) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		conn.Close()
		return
	}
	c.open[conn] = true
	c.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.count(conn)
		conn.Close()
	}()
	_ = conn.SetWriteDeadline(c.deadline)
	say(conn, client)
	select {
	case <-ended:
	case <-time.After(time.Until(c.deadline)):
		return
	}
	c.mu.Lock()
	delete(c.open, conn)
	c.mu.Unlock()
}

// count counts the responses on a connection by the class of their status, until it ends.
func (c *crowd) count(conn net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := conn.Read(buf)
		if _, rest, found := strings.Cut(string(buf[:n]), "HTTP/1.1 "); found && rest != "" && rest[0] >= '1' && rest[0] <= '5' {
			c.answers[rest[0]-'0'].Add(1)
		}
		if err != nil {
			return
		}
	}
}

// await waits until the crowd's time is over. Its connections stay open.
func (c *crowd) await() { c.wg.Wait() }

// close closes the connections.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		conn.Close()
	}
}

// head returns the head of a request with the key of an organisation, without its end.
func head(host, path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 60000\r\n", path, host, id, callersKey)
}

// write writes text and reports whether that succeeded.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// repeat writes a text without end, several at a time.
func repeat(c net.Conn, text string) {
	for block := strings.Repeat(text, 1+8000/len(text)); write(c, block); {
		continue
	}
}

// repeatBytes writes a text until it has written a number of bytes.
func repeatBytes(c net.Conn, text string, total int) {
	block := strings.Repeat(text, 1+8000/len(text))
	for sent := 0; sent < total; sent += len(block) {
		if !write(c, block[:min(len(block), total-sent)]) {
			return
		}
	}
}

// missingBytes is by how much a body stops short of its end.
const missingBytes = 9 << 10

// announcedBody writes a body that stops short of the length that it announces.
func announcedBody(c net.Conn, head string, announced, sent int) {
	if write(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", announced)) {
		repeatBytes(c, "b", sent)
	}
}

// chunkedBody writes a body in chunks that stops short of its last chunk.
func chunkedBody(c net.Conn, head string, chunk, total int) {
	if write(c, head+"Transfer-Encoding: chunked\r\n\r\n") {
		text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk))
		repeatBytes(c, text, total/chunk*len(text))
	}
}

// shape is a kind of misbehaviour towards the listener for callers.
type shape struct {
	name string
	size int
	say  talk
}

func callerHead(client int) string {
	return head(callersHost, pathStatus, fmt.Sprint("crowd-", client))
}

// callerShapes are the kinds of misbehaviour towards the listener for callers.
var callerShapes = []shape{
	{"body that stops short of its length", crowdSize, func(c net.Conn, n int) {
		announcedBody(c, callerHead(n), maxBodyBytes, maxBodyBytes-missingBytes)
	}},
	{"body in chunks that stops short of its end", crowdSize, func(c net.Conn, n int) {
		chunkedBody(c, callerHead(n), 8000, maxBodyBytes-missingBytes)
	}},
	{"body in small chunks that stops short of its end", crowdSize, func(c net.Conn, n int) {
		chunkedBody(c, callerHead(n), 100, maxBodyBytes-missingBytes)
	}},
	{"body in chunks of one byte", crowdSize, func(c net.Conn, n int) {
		chunkedBody(c, callerHead(n), 1, maxBodyBytes-missingBytes)
	}},
	{"whole bodies below the limit", crowdSize, func(c net.Conn, n int) {
		announcedBody(c, callerHead(n), maxBodyBytes-1, maxBodyBytes-1)
	}},
	{"announced body without end", crowdSize, func(c net.Conn, n int) {
		if write(c, callerHead(n)+"Content-Length: 99999999999\r\n\r\n") {
			repeat(c, "b")
		}
	}},
	{"body without end in chunks", crowdSize, func(c net.Conn, n int) {
		if write(c, callerHead(n)+"Transfer-Encoding: chunked\r\n\r\n") {
			repeat(c, fmt.Sprintf("%x\r\n%s\r\n", 8000, strings.Repeat("b", 8000)))
		}
	}},
	{"body to a host without a route", crowdSize, func(c net.Conn, n int) {
		announcedBody(c, head("nowhere.example", pathStatus, fmt.Sprint("crowd-", n)), maxBodyBytes, maxBodyBytes-missingBytes)
	}},
	{"body of a client that closes its side", crowdSize, func(c net.Conn, n int) {
		announcedBody(c, callerHead(n), maxBodyBytes, maxBodyBytes-missingBytes)
		_ = c.(*net.TCPConn).CloseWrite()
	}},
	{"body that is sent without waiting for 100 Continue", crowdSize, func(c net.Conn, n int) {
		announcedBody(c, callerHead(n)+"Expect: 100-continue\r\n", maxBodyBytes, maxBodyBytes-missingBytes)
	}},
	{"head that stays open", headCrowd, func(c net.Conn, n int) {
		if write(c, callerHead(n)) {
			repeatBytes(c, "X-Field: "+strings.Repeat("v", 100)+"\r\n", 900<<10)
		}
	}},
	{"many short lines in a head that stays open", headCrowd, func(c net.Conn, n int) {
		if !write(c, callerHead(n)) {
			return
		}
		for i := 0; i < 100_000 && write(c, fmt.Sprintf("%x:\r\n", i)); i++ {
			continue
		}
	}},
	{"many short lines in a head with a body that does not come", fieldCrowd, func(c net.Conn, n int) {
		text := callerHead(n) + "Content-Length: 10\r\n"
		for i := 0; len(text) < maxHeaderBytes-100; i++ {
			text += fmt.Sprintf("%x:\r\n", i)
		}
		write(c, text+"\r\n")
	}},
	{"line of a head without end", headCrowd, func(c net.Conn, n int) {
		if write(c, callerHead(n)+"X-Field: ") {
			repeat(c, "v")
		}
	}},
	{"lines of a head without end", headCrowd, func(c net.Conn, n int) {
		if write(c, callerHead(n)) {
			repeat(c, "X-Field: v\r\n")
		}
	}},
	{"empty lines without end before a request", crowdSize, func(c net.Conn, _ int) { repeat(c, "\r\n") }},
	{"bare line feeds without end before a request", crowdSize, func(c net.Conn, _ int) { repeat(c, "\n") }},
	{"chunk extension without end", crowdSize, func(c net.Conn, n int) {
		if write(c, callerHead(n)+"Transfer-Encoding: chunked\r\n\r\n1;") {
			repeat(c, "e")
		}
	}},
	{"trailers without end", crowdSize, func(c net.Conn, n int) {
		if write(c, callerHead(n)+"Transfer-Encoding: chunked\r\nTrailer: X-Field\r\n\r\n1\r\nb\r\n0\r\n") {
			repeat(c, "X-Field: v\r\n")
		}
	}},
	{"requests without end", crowdSize, func(c net.Conn, n int) {
		repeat(c, callerHead(n)+"Content-Length: 1\r\n\r\nb")
	}},
	{"responses that are not read", crowdSize, func(c net.Conn, n int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		write(c, strings.Repeat(head(callersHost, pathStatus+"?bytes=200000", fmt.Sprint("crowd-", n))+"\r\n", 10))
	}},
}

// connectionShapes are what the clients of a crowd of connections send.
var connectionShapes = []shape{
	{"connections without a byte", connectionCrowd, func(net.Conn, int) {}},
	{"connections with half a head", connectionCrowd, func(c net.Conn, n int) { write(c, callerHead(n)) }},
}

// watch records the most descriptors that a process has open, until stop is closed.
func (p *process) watch(stop <-chan struct{}) (most <-chan int) {
	result := make(chan int, 1)
	go func() {
		n := 0
		for {
			n = max(n, p.descriptors())
			select {
			case <-stop:
				result <- n
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return result
}

// run lets a crowd use a listener and checks that the process stays within its limits. While
// the connections of the crowd are still open, check has to succeed in one of some tries.
func (p *process) run(t *testing.T, port int, s shape, check func() (bool, string)) {
	t.Helper()
	stop := make(chan struct{})
	most := p.watch(stop)
	c := startCrowd(p.address(port), s.size, s.say)
	during, sent := p.checkBeside(c, check)
	c.await()
	ok, why := false, ""
	for try := 0; try < maxTries && !ok && !p.hasEnded(); try++ {
		if ok, why = check(); !ok {
			time.Sleep(tryPause)
		}
	}
	close(stop)
	open := <-most
	if p.hasEnded() {
		c.close()
		t.Fatalf("the process has ended\n%s", p.logTail())
	}
	peak := p.peakMemory(t)
	c.close()
	if !ok {
		t.Errorf("no ordinary request is answered afterwards: %s", why)
	}
	if peak > memoryMB<<20 {
		t.Errorf("the process had %d MB resident, more than its limit of %d MB", peak>>20, memoryMB)
	}
	if open > maxDescriptors {
		t.Errorf("the process had %d descriptors open, more than its limit of %d", open, maxDescriptors)
	}
	t.Logf("%d MB, %d descriptors; answers to the crowd: %d 2xx, %d 4xx, %d 5xx; %d of %d ordinary requests answered beside it", peak>>20, open, c.answers[2].Load(), c.answers[4].Load(), c.answers[5].Load(), during, sent)
}

// checkBeside checks a process from time to time while a crowd goes on, and returns how often
// that succeeded. The numbers are only logged.
func (p *process) checkBeside(c *crowd, check func() (bool, string)) (succeeded, total int) {
	for time.Now().Before(c.deadline) && !p.hasEnded() {
		if ok, _ := check(); ok {
			succeeded++
		}
		total++
		time.Sleep(100 * time.Millisecond)
	}
	return succeeded, total
}

// TestClientsBeyondLimitsOfCallers guards against callers that end an entry, or keep others from
// being served: by what they send, by what they don't read, or by the number of their
// connections.
func TestClientsBeyondLimitsOfCallers(t *testing.T) {
	for _, s := range append(callerShapes, connectionShapes...) {
		t.Run(s.name, func(t *testing.T) {
			p := startEntry(t)
			p.run(t, portCallers, s, func() (bool, string) { return p.isServed(t.Context()) })
		})
	}
}

// TestEqualAttemptIDsAtOnce guards against callers that end an entry, or get each other's
// responses, by sending the same ID at once.
func TestEqualAttemptIDsAtOnce(t *testing.T) {
	const requests, ids = 400, 10
	p := startEntry(t)
	for _, path := range []string{pathStatus, pathConfirm} {
		var pending sync.WaitGroup
		for i := range requests {
			pending.Go(func() {
				id := fmt.Sprint("same-", i%ids)
				conn, err := net.Dial("tcp", p.address(portCallers))
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				if !write(conn, head(callersHost, path, id)+"Connection: close\r\nContent-Length: 1\r\n\r\nb") {
					return
				}
				raw, err := io.ReadAll(conn)
				if err != nil {
					return
				}
				if text := string(raw); strings.HasPrefix(text, "HTTP/1.1 200") && !strings.HasSuffix(text, "done "+id) {
					t.Errorf("the response to %s is %q", id, text)
				}
			})
		}
		pending.Wait()
		if p.hasEnded() {
			t.Fatalf("the process has ended\n%s", p.logTail())
		}
		if ok, why := p.isServed(t.Context()); !ok {
			t.Errorf("no ordinary request is served afterwards: %s", why)
		}
	}
}

// TestLargestRequestIsServed guards against limits that refuse a single request which is within
// those of the configuration.
func TestLargestRequestIsServed(t *testing.T) {
	p := startEntry(t)
	for _, tc := range []struct {
		name   string
		body   io.Reader
		header http.Header
	}{
		{"body with a length", strings.NewReader(strings.Repeat("b", maxBodyBytes)), nil},
		{"body in chunks", io.MultiReader(strings.NewReader(strings.Repeat("b", maxBodyBytes))), nil},
		{"head", strings.NewReader("b"), http.Header{"X-Field": {strings.Repeat("v", maxHeaderBytes-1000)}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, body, err := p.send(t.Context(), pathConfirm, tc.body, tc.header)
			if err != nil || status != http.StatusOK {
				t.Errorf("got status %d, %q, %v", status, body, err)
			}
		})
	}
	if peak := p.peakMemory(t); peak > memoryMB<<20 {
		t.Errorf("the process had %d MB resident, more than its limit of %d MB", peak>>20, memoryMB)
	}
}
