package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// family is the handles of one kind of metric by their labels, at most a
// number of them; later labels share the handles of their "other".
type family[K comparable, V any] struct {
	most    int
	build   func(K) V
	otherOf func(K) K
	// known is replaced as a whole, so that reading takes no lock.
	known atomic.Pointer[map[K]V]
	mu    sync.Mutex
	count int
}

func newFamily[K comparable, V any](most int, build func(K) V, otherOf func(K) K) *family[K, V] {
	f := &family[K, V]{most: most, build: build, otherOf: otherOf}
	f.known.Store(new(map[K]V))
	return f
}

func (f *family[K, V]) get(key K) V {
	known := *f.known.Load()
	if v, ok := known[key]; ok {
		return v
	}
	if v, ok := known[f.otherOf(key)]; ok {
		return v
	}
	return f.add(key)
}

func (f *family[K, V]) add(key K) V {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := *f.known.Load()
	if v, ok := known[key]; ok {
		return v
	}
	if f.count >= f.most {
		key = f.otherOf(key)
		if v, ok := known[key]; ok {
			return v
		}
	}
	f.count++
	v := f.build(key)
	next := maps.Clone(known)
	if next == nil {
		next = map[K]V{}
	}
	next[key] = v
	f.known.Store(&next)
	return v
}
