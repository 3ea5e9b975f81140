package lockstep

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/pause"
)

// Bounds of the reading of the model's shape.
const (
	// shapeTimeout bounds one reading: the shape is a part of a configuration that may
	// take hundreds of kilobytes, and links of ranks are slow.
	shapeTimeout = 5 * time.Second
	// firstShapePause and mostShapePause bound the pause after a reading that failed.
	firstShapePause = 100 * time.Millisecond
	mostShapePause  = 2 * time.Second
)

// shapeKeeper reads the shape of the model in the background, before the agent has to
// coordinate, and keeps it: a model keeps its shape while its engines run. It is safe for
// concurrent use.
type shapeKeeper struct {
	source ModelShapeReader
	log    *logrus.Entry

	mu      sync.Mutex
	shape   ModelShape
	known   bool
	reading bool
}

// get returns the shape, and false while it is not known.
func (k *shapeKeeper) get() (ModelShape, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shape, k.known
}

// want has the shape read unless it is known or being read.
func (k *shapeKeeper) want(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known || k.reading {
		return
	}
	k.reading = true
	go k.read(ctx)
}

// read reads the shape until it is known or ctx ends.
func (k *shapeKeeper) read(ctx context.Context) {
	between := pause.NewBackoff(firstShapePause, mostShapePause)
	for ctx.Err() == nil {
		shape, err := k.readOnce(ctx)
		if err == nil {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.shape, k.known, k.reading = shape, true, false
			return
		}
		wait := between.NextBackOff()
		k.log.WithError(err).WithField("again_ms", wait.Milliseconds()).Warn("shape of the model not read")
		pause.Sleep(ctx, wait)
	}
}

func (k *shapeKeeper) readOnce(ctx context.Context) (ModelShape, error) {
	ctx, cancel := context.WithTimeout(ctx, shapeTimeout)
	defer cancel()
	return k.source.ModelShape(ctx)
}
