package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// family caches the handles of one kind of metric by label values, up to a limit.
// Label values beyond it share the handle of their overflow key.
type family[K comparable, V any] struct {
	limit    int
	create   func(K) V
	overflow func(K) K
	// handles is copied on write, so that reads take no lock.
	handles atomic.Pointer[map[K]V]
	mu      sync.Mutex
	count   int
}

func newFamily[K comparable, V any](limit int, create func(K) V, overflow func(K) K) *family[K, V] {
	f := &family[K, V]{limit: limit, create: create, overflow: overflow}
	f.handles.Store(new(map[K]V))
	return f
}

func (f *family[K, V]) get(key K) V {
	handles := *f.handles.Load()
	if v, ok := handles[key]; ok {
		return v
	}
	if v, ok := handles[f.overflow(key)]; ok {
		return v
	}
	return f.add(key)
}

func (f *family[K, V]) add(key K) V {
	f.mu.Lock()
	defer f.mu.Unlock()
	handles := *f.handles.Load()
	if v, ok := handles[key]; ok {
		return v
	}
	if f.count >= f.limit {
		key = f.overflow(key)
		if v, ok := handles[key]; ok {
			return v
		}
	}
	f.count++
	v := f.create(key)
	updated := maps.Clone(handles)
	if updated == nil {
		updated = map[K]V{}
	}
	updated[key] = v
	f.handles.Store(&updated)
	return v
}
