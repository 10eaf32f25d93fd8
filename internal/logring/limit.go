package logring

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limit is a slog.Handler that bounds the lines of the usual course. Warnings
// and errors pass: a failed request's lines go before all others.
type Limit struct {
	slog.Handler
	bucket *bucket
}

type bucket struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
	missed int64
}

// NewLimit bounds a handler.
func NewLimit(h slog.Handler) *Limit {
	return &Limit{Handler: h, bucket: &bucket{tokens: burst}}
}

// Handle passes a record on, or drops it.
func (l *Limit) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !l.bucket.take(r.Time) {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs keeps the bound.
func (l *Limit) WithAttrs(a []slog.Attr) slog.Handler {
	return &Limit{Handler: l.Handler.WithAttrs(a), bucket: l.bucket}
}

// WithGroup keeps the bound.
func (l *Limit) WithGroup(name string) slog.Handler {
	return &Limit{Handler: l.Handler.WithGroup(name), bucket: l.bucket}
}

// Missed returns how many lines the bound has dropped.
func (l *Limit) Missed() int64 {
	l.bucket.mu.Lock()
	defer l.bucket.mu.Unlock()
	return l.bucket.missed
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), burst)
	}
	b.at = now
	if b.tokens < 1 {
		b.missed++
		return false
	}
	b.tokens--
	return true
}
