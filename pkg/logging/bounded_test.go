package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/logging"
)

// blockingWriter is an output whose writes block until open is closed.
type blockingWriter struct {
	open    chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockingWriter) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

func (o *blockingWriter) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

func TestBoundedWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	b := logging.NewBoundedWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000

	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; i < lines; i++ {
			if n, err := b.Write(line); n != len(line) || err != nil {
				t.Errorf("Write returned %d, %v", n, err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output blocks")
	}
	if b.Dropped() == 0 {
		t.Fatal("no line was dropped; the queue held all 5 MB")
	}
	close(out.open)
	b.Flush(5 * time.Second)
	written := strings.Count(out.text(), "x\n")
	if written+b.Dropped() != lines {
		t.Errorf("got %d lines written and %d dropped, want %d together", written, b.Dropped(), lines)
	}
}

func TestBoundedWriterWritesCompleteLinesInOrder(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	close(out.open)
	b := logging.NewBoundedWriter(out)
	want := ""
	for _, s := range []string{"one\n", "two\n", "three\n"} {
		want += s
		if _, err := b.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush(5 * time.Second)
	if out.text() != want {
		t.Errorf("wrote %q, want %q", out.text(), want)
	}
}

func TestFlushTimesOutWhileOutputBlocks(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	b := logging.NewBoundedWriter(out)
	if _, err := b.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	b.Flush(50 * time.Millisecond)
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Flush returned after %v, want about its timeout of 50ms", took)
	}
	close(out.open)
}
