package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/logging"
)

// gate is a reader of logs that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

func TestBoundedNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := logging.NewBounded(g)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000

	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; i < lines; i++ {
			if n, err := b.Write(line); n != len(line) || err != nil {
				t.Errorf("Write = %d, %v", n, err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waits for the reader of the logs")
	}
	if b.Dropped() == 0 {
		t.Fatal("5 MB fit into the queue")
	}
	close(g.open)
	b.Flush(5 * time.Second)
	written := strings.Count(g.text(), "x\n")
	if written+b.Dropped() != lines {
		t.Errorf("%d written and %d dropped of %d lines", written, b.Dropped(), lines)
	}
}

func TestBoundedKeepsWholeLinesInOrder(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	b := logging.NewBounded(g)
	want := ""
	for _, s := range []string{"one\n", "two\n", "three\n"} {
		want += s
		if _, err := b.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	b.Flush(5 * time.Second)
	if g.text() != want {
		t.Errorf("wrote %q, want %q", g.text(), want)
	}
}

func TestFlushEndsWhenTheReaderIsStuck(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := logging.NewBounded(g)
	if _, err := b.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	b.Flush(50 * time.Millisecond)
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Flush took %v", took)
	}
	close(g.open)
}
