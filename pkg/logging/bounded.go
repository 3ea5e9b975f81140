package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Bounds of the logs' volume.
const (
	// queueBytes is how much waits to be written while the reader of the logs is
	// slow.
	queueBytes = 256 << 10
	// linesPerSecond and lineBurst bound the lines of a process. A busy entry
	// decides on some hundred requests a second.
	linesPerSecond = 1000
	lineBurst      = 2000
	// dropReport is the time between two lines about lines that were dropped.
	dropReport = time.Second
)

// BoundedWriter is a writer that never blocks its caller: lines wait in a bounded
// queue, and are dropped and counted when it is full or when there are too many.
type BoundedWriter struct {
	out   io.Writer
	limit *rate.Limiter

	mu      sync.Mutex
	wake    *sync.Cond
	queue   bytes.Buffer
	dropped int
	total   int
	writing bool
	closed  bool
}

// NewBounded returns a writer to out, and starts to write.
func NewBounded(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, limit: rate.NewLimiter(linesPerSecond, lineBurst)}
	b.wake = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// Write implements io.Writer. It takes one line and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	allowed := b.limit.Allow()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !allowed || b.queue.Len()+len(line) > queueBytes {
		b.dropped++
		b.total++
		return len(line), nil
	}
	b.queue.Write(line)
	b.wake.Signal()
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (b *BoundedWriter) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// run writes what waits.
func (b *BoundedWriter) run() {
	var batch []byte
	reported := time.Now()
	for {
		b.mu.Lock()
		for b.queue.Len() == 0 && !b.closed {
			b.writing = false
			b.wake.Broadcast()
			b.wake.Wait()
		}
		if b.queue.Len() == 0 {
			b.writing = false
			b.wake.Broadcast()
			b.mu.Unlock()
			return
		}
		batch = append(batch[:0], b.queue.Bytes()...)
		b.queue.Reset()
		b.writing = true
		dropped := 0
		if b.dropped > 0 && time.Since(reported) >= dropReport {
			dropped, b.dropped, reported = b.dropped, 0, time.Now()
		}
		b.mu.Unlock()
		if dropped > 0 {
			batch = append(batch, dropLine(dropped)...)
		}
		// There is nowhere left to report that the logs can't be written.
		_, _ = b.out.Write(batch)
	}
}

// dropLine is the line about dropped lines, in the format of the others.
func dropLine(n int) []byte {
	e := logrus.WithFields(logrus.Fields{partField: "logging", "dropped": n})
	e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "lines were dropped"
	line, err := logrus.StandardLogger().Formatter.Format(e)
	if err != nil {
		return []byte(fmt.Sprintf("logging: %d lines were dropped\n", n))
	}
	return line
}

// Flush waits until everything is written, at most for a time.
func (b *BoundedWriter) Flush(most time.Duration) {
	timer := time.AfterFunc(most, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closed = true
		b.wake.Broadcast()
	})
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for (b.queue.Len() > 0 || b.writing) && !b.closed {
		b.wake.Wait()
	}
}

var _ io.Writer = (*BoundedWriter)(nil)
