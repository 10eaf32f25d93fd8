package cli

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// stopTimeout bounds the stop of what serves no callers.
const stopTimeout = 60 * time.Second

// part is something that a command starts and stops.
type part interface {
	Start() error
	Close(ctx context.Context) error
}

// run starts the parts in order, calls ready, waits for SIGINT or SIGTERM and
// closes the parts in reverse order. A further signal changes nothing: what was
// accepted is still finished.
func run(log *slog.Logger, limit time.Duration, ready func() error, parts ...part) error {
	signals, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	for i, p := range parts {
		if err := p.Start(); err != nil {
			_ = closeAll(limit, parts[:i]) // the first error counts
			return err
		}
	}
	if err := ready(); err != nil {
		_ = closeAll(limit, parts) // the first error counts
		return err
	}
	<-signals.Done()
	event.ProcessStopping.Log(log)
	err := closeAll(limit, parts)
	event.ProcessStopped.Log(log)
	return err
}

func closeAll(limit time.Duration, parts []part) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var first error
	for i := len(parts) - 1; i >= 0; i-- {
		if err := parts[i].Close(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
