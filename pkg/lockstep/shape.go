package lockstep

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/pause"
)

// Limits of reading the model's shape.
const (
	// shapeTimeout limits one read. The shape is a part of a configuration that may
	// take hundreds of kilobytes, and links of ranks are slow.
	shapeTimeout = 5 * time.Second
	// initialShapePause and maxShapePause limit the backoff after a read that failed.
	initialShapePause = 100 * time.Millisecond
	maxShapePause     = 2 * time.Second
)

// shapeCache reads the shape of the model in the background, before the agent has to
// coordinate, and caches it. The shape does not change while the engines run. It is safe
// for concurrent use.
type shapeCache struct {
	source ModelShapeReader
	log    *logrus.Entry

	mu      sync.Mutex
	shape   ModelShape
	known   bool
	reading bool
}

// get returns the shape, and false while it is not known.
func (c *shapeCache) get() (ModelShape, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shape, c.known
}

// startReading starts reading the shape, unless it is known or being read.
func (c *shapeCache) startReading(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known || c.reading {
		return
	}
	c.reading = true
	go c.readUntilKnown(ctx)
}

// readUntilKnown reads the shape until it is known or ctx ends.
func (c *shapeCache) readUntilKnown(ctx context.Context) {
	between := pause.NewBackoff(initialShapePause, maxShapePause)
	for ctx.Err() == nil {
		shape, err := c.readOnce(ctx)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.shape, c.known, c.reading = shape, true, false
			return
		}
		wait := between.NextBackOff()
		c.log.WithError(err).WithField("again_ms", wait.Milliseconds()).Warn("the shape of the model could not be read; it is read again")
		pause.Sleep(ctx, wait)
	}
}

func (c *shapeCache) readOnce(ctx context.Context) (ModelShape, error) {
	ctx, cancel := context.WithTimeout(ctx, shapeTimeout)
	defer cancel()
	return c.source.ModelShape(ctx)
}
