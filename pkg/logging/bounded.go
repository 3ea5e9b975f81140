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

// Limits of the log volume.
const (
	// maxQueuedBytes limits the lines that are queued while the output is slow.
	maxQueuedBytes = 256 << 10
	// linesPerSecond and lineBurst limit the lines of a process. A busy entry decides
	// on some hundred requests a second, so they allow several lines for each.
	linesPerSecond = 1000
	lineBurst      = 2000
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// BoundedWriter is a writer that never blocks its caller. Lines are queued up to a limit.
// Lines that exceed the limit or the maximum rate are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter

	mu                sync.Mutex
	changed           *sync.Cond
	queue             bytes.Buffer
	droppedUnreported int
	droppedTotal      int
	writing           bool
	closed            bool
}

// NewBoundedWriter returns a writer to out and starts its goroutine.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	b.changed = sync.NewCond(&b.mu)
	go b.run()
	return b
}

// Write implements io.Writer. It queues one line and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	allowed := b.limiter.Allow()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !allowed || b.queue.Len()+len(line) > maxQueuedBytes {
		b.droppedUnreported++
		b.droppedTotal++
		return len(line), nil
	}
	b.queue.Write(line)
	b.changed.Signal()
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.droppedTotal
}

// run writes the queued lines until the writer is closed.
func (b *BoundedWriter) run() {
	var batch []byte
	reportedAt := time.Now()
	for {
		b.mu.Lock()
		for b.queue.Len() == 0 && !b.closed {
			b.writing = false
			b.changed.Broadcast()
			b.changed.Wait()
		}
		if b.queue.Len() == 0 {
			b.writing = false
			b.changed.Broadcast()
			b.mu.Unlock()
			return
		}
		batch = append(batch[:0], b.queue.Bytes()...)
		b.queue.Reset()
		b.writing = true
		dropped := 0
		if b.droppedUnreported > 0 && time.Since(reportedAt) >= dropReportInterval {
			dropped, b.droppedUnreported, reportedAt = b.droppedUnreported, 0, time.Now()
		}
		b.mu.Unlock()
		if dropped > 0 {
			batch = append(batch, formatDropReport(dropped)...)
		}
		// A failure to write the logs can't be reported anywhere.
		_, _ = b.out.Write(batch)
	}
}

// formatDropReport returns the line about dropped lines, in the format of the logger.
func formatDropReport(n int) []byte {
	e := logrus.WithFields(logrus.Fields{componentField: "logging", "dropped": n})
	e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "lines were dropped"
	line, err := logrus.StandardLogger().Formatter.Format(e)
	if err != nil {
		return []byte(fmt.Sprintf("logging: %d lines were dropped\n", n))
	}
	return line
}

// Flush waits until all queued lines are written. It closes the writer if that takes longer
// than the timeout.
func (b *BoundedWriter) Flush(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closed = true
		b.changed.Broadcast()
	})
	defer timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	for (b.queue.Len() > 0 || b.writing) && !b.closed {
		b.changed.Wait()
	}
}

var _ io.Writer = (*BoundedWriter)(nil)
