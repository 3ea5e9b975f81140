package tablestore

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
)

// fakeObjects is an in-memory fake of the platform's store.
type fakeObjects struct {
	mu      sync.Mutex
	version int
	stored  map[string]objects.Object
	// previousHead is the head before the newest one.
	previousHead objects.Object
	// down fails every read, creation and update of an object, loseResponses fails every
	// creation and update after it took effect, and stale returns previousHead to reads of
	// the head.
	down, loseResponses, stale bool
	// writes and bytes are the number and total size of the objects that were written,
	// largest is the size of the largest one.
	writes, bytes, largest int
}

func newFake() *fakeObjects { return &fakeObjects{stored: make(map[string]objects.Object)} }

// withLock calls fn, which changes the fake's state, under the lock.
func (f *fakeObjects) withLock(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func (f *fakeObjects) Get(_ context.Context, kind, name string) (objects.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o, ok := f.stored[kind+"/"+name]
	switch {
	case f.down:
		return o, objects.ErrUnavailable
	case !ok:
		return o, objects.ErrNotFound
	case f.stale && kind == HeadKind:
		return f.previousHead, nil
	default:
		return o, nil
	}
}

func (f *fakeObjects) Create(_ context.Context, kind, name string, spec any) (objects.Object, error) {
	return f.write(kind, name, "", spec, objects.ErrExists)
}

func (f *fakeObjects) Update(_ context.Context, kind, name, version string, spec any) (objects.Object, error) {
	return f.write(kind, name, version, spec, objects.ErrConflict)
}

func (f *fakeObjects) write(kind, name, version string, spec any, conflict error) (objects.Object, error) {
	raw, err := json.Marshal(spec)
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.stored[kind+"/"+name]
	switch {
	case err != nil || f.down:
		return old, objects.ErrUnavailable
	case old.Metadata.ResourceVersion != version:
		return old, conflict
	}
	f.version++
	o := objects.Object{Kind: kind, Metadata: objects.Metadata{Name: name, ResourceVersion: strconv.Itoa(f.version)}, Spec: raw}
	f.stored[kind+"/"+name] = o
	if kind == HeadKind {
		f.previousHead = old
	}
	f.writes++
	f.bytes += len(raw)
	f.largest = max(f.largest, len(raw))
	if f.loseResponses {
		return o, objects.ErrUnavailable
	}
	return o, nil
}

func (f *fakeObjects) Delete(_ context.Context, kind, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.stored, kind+"/"+name)
	return nil
}

func (f *fakeObjects) Watch(ctx context.Context, _ string, _ func(objects.Event)) error {
	<-ctx.Done()
	return ctx.Err()
}

var _ Objects = (*fakeObjects)(nil)
