package streamwatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// Registry holds the upstreams that have open streams, by service. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	services map[string]map[string]*source
}

// source is an upstream with open streams.
type source struct {
	open int
	// eventAt is when the latest event came on any of its streams, in Unix nanoseconds.
	eventAt atomic.Int64
}

// New returns an empty registry.
func New() *Registry { return &Registry{services: map[string]map[string]*source{}} }

// Begin records a stream whose response has started. The caller must call [Stream.End].
func (r *Registry) Begin(service, upstream string, now time.Time) *Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	sources := r.services[service]
	if sources == nil {
		sources = map[string]*source{}
		r.services[service] = sources
	}
	s := sources[upstream]
	if s == nil {
		s = &source{}
		sources[upstream] = s
	}
	s.open++
	s.note(now)
	return &Stream{registry: r, source: s, service: service, upstream: upstream}
}

// end removes a stream, and its upstream if that has no other one.
func (r *Registry) end(s *Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sources := r.services[s.service]
	if s.source.open--; s.source.open > 0 {
		return
	}
	delete(sources, s.upstream)
	if len(sources) == 0 {
		delete(r.services, s.service)
	}
}

// Silence returns which upstreams of a service have sent no event for the given time.
func (r *Registry) Silence(service string, after time.Duration, now time.Time) Silence {
	r.mu.Lock()
	defer r.mu.Unlock()
	sources := r.services[service]
	silence := Silence{Streaming: len(sources)}
	for id, s := range sources {
		if now.UnixNano()-s.eventAt.Load() >= int64(after) {
			silence.Upstreams = append(silence.Upstreams, id)
		}
	}
	return silence
}

// note records an event; an older time than the latest one has no effect.
func (s *source) note(now time.Time) {
	at := now.UnixNano()
	for {
		latest := s.eventAt.Load()
		if at <= latest || s.eventAt.CompareAndSwap(latest, at) {
			return
		}
	}
}
