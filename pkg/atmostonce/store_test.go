package atmostonce

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
)

// store is an object API in memory. Other events run during its calls, responses are
// lost, and writes take effect after their caller received an error.
type store struct {
	simulation *simulation
	down       bool
	version    int
	objects    map[string]objects.Object
}

func newStore(sim *simulation) *store {
	return &store{simulation: sim, objects: make(map[string]objects.Object)}
}

// Get implements objects.Store.
func (s *store) Get(_ context.Context, _, name string) (objects.Object, error) {
	s.simulation.interleave()
	if s.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	o, ok := s.objects[name]
	if !ok {
		return o, objects.ErrNotFound
	}
	return o, nil
}

// Create implements objects.Store.
func (s *store) Create(_ context.Context, _, name string, spec any) (objects.Object, error) {
	return s.write(func() (objects.Object, error) {
		if _, ok := s.objects[name]; ok {
			return objects.Object{}, objects.ErrExists
		}
		return s.save(name, spec), nil
	})
}

// Update implements objects.Store.
func (s *store) Update(_ context.Context, _, name, version string, spec any) (objects.Object, error) {
	return s.write(func() (objects.Object, error) {
		if s.objects[name].Metadata.ResourceVersion != version {
			return objects.Object{}, objects.ErrConflict
		}
		return s.save(name, spec), nil
	})
}

// Watch implements objects.Store.
func (s *store) Watch(context.Context, string, func(objects.Event)) error { return nil }

func (s *store) write(apply func() (objects.Object, error)) (objects.Object, error) {
	s.simulation.interleave()
	if s.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	if s.simulation.chance(10) {
		s.simulation.addMessage(func() { _, _ = apply() })
		return objects.Object{}, objects.ErrUnavailable
	}
	o, err := apply()
	s.simulation.interleave()
	if s.simulation.chance(10) {
		return objects.Object{}, objects.ErrUnavailable
	}
	return o, err
}

func (s *store) save(name string, spec any) objects.Object {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.version++
	o := objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: strconv.Itoa(s.version)}, Spec: raw}
	s.objects[name] = o
	return o
}
