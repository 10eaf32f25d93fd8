package logring

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// RateLimitHandler is a slog.Handler that rate-limits records below warning level. Warnings
// and errors always pass, so the lines of a failed request are never dropped here, and of each kind
// of event one line a second.
type RateLimitHandler struct {
	slog.Handler
	bucket *bucket
}

// bucket is the token bucket shared by a RateLimitHandler and the handlers derived from it.
type bucket struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int64
	floor      floor
}

// NewRateLimitHandler returns a handler that passes records on to h within the rate limit.
func NewRateLimitHandler(h slog.Handler) *RateLimitHandler {
	return &RateLimitHandler{Handler: h, bucket: &bucket{tokens: infoLineBurst}}
}

// Handle passes a record on, or drops and counts it where the limit is exceeded.
func (l *RateLimitHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !l.bucket.take(r) {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes that shares the rate limit.
func (l *RateLimitHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &RateLimitHandler{Handler: l.Handler.WithAttrs(a), bucket: l.bucket}
}

// WithGroup returns a handler with a group that shares the rate limit.
func (l *RateLimitHandler) WithGroup(name string) slog.Handler {
	return &RateLimitHandler{Handler: l.Handler.WithGroup(name), bucket: l.bucket}
}

// Dropped returns how many lines the rate limit has dropped since the start.
func (l *RateLimitHandler) Dropped() int64 {
	l.bucket.mu.Lock()
	defer l.bucket.mu.Unlock()
	return l.bucket.dropped
}

func (b *bucket) take(r slog.Record) bool {
	now := r.Time
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+infoLinesPerSecond*now.Sub(b.refilledAt).Seconds(), infoLineBurst)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		if b.floor.take(r) {
			return true
		}
		b.dropped++
		return false
	}
	b.tokens--
	return true
}
