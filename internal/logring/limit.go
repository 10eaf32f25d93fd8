package logring

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit is a slog.Handler that rate-limits records below warning level. Warnings
// and errors always pass, so the lines of a failed request are never dropped here.
type Limit struct {
	slog.Handler
	bucket *bucket
}

// bucket is the token bucket shared by a Limit and the handlers derived from it.
type bucket struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int64
}

// NewLimit returns a handler that passes records on to h within the rate limit.
func NewLimit(h slog.Handler) *Limit {
	return &Limit{Handler: h, bucket: &bucket{tokens: infoLineBurst}}
}

// Handle passes a record on, or drops and counts it where the limit is exceeded.
func (l *Limit) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !l.bucket.take(r.Time) {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes that shares the rate limit.
func (l *Limit) WithAttrs(a []slog.Attr) slog.Handler {
	return &Limit{Handler: l.Handler.WithAttrs(a), bucket: l.bucket}
}

// WithGroup returns a handler with a group that shares the rate limit.
func (l *Limit) WithGroup(name string) slog.Handler {
	return &Limit{Handler: l.Handler.WithGroup(name), bucket: l.bucket}
}

// Dropped returns how many lines the rate limit has dropped since the start.
func (l *Limit) Dropped() int64 {
	l.bucket.mu.Lock()
	defer l.bucket.mu.Unlock()
	return l.bucket.dropped
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+infoLinesPerSecond*now.Sub(b.refilledAt).Seconds(), infoLineBurst)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return false
	}
	b.tokens--
	return true
}
