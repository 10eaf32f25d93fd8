package cli

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// stopTimeout is the time limit for stopping commands without a --stop-timeout flag.
const stopTimeout = 60 * time.Second

// component is a server that a command starts and closes.
type component interface {
	Start() error
	Close(ctx context.Context) error
}

// run starts the components in order, calls ready, waits for SIGINT or SIGTERM and closes the
// components in reverse order within the limit. Further signals are ignored, so that accepted
// requests are still completed.
func run(log *slog.Logger, limit time.Duration, ready func() error, components ...component) error {
	signals, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	for i, p := range components {
		if err := p.Start(); err != nil {
			_ = closeAll(limit, components[:i]) // the error of the start is returned
			return err
		}
	}
	if err := ready(); err != nil {
		_ = closeAll(limit, components) // the error of ready is returned
		return err
	}
	<-signals.Done()
	event.ProcessStopping.Log(log)
	err := closeAll(limit, components)
	event.ProcessStopped.Log(log)
	return err
}

// closeAll closes the components in reverse order and returns the first error.
func closeAll(limit time.Duration, components []component) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var first error
	for i := len(components) - 1; i >= 0; i-- {
		if err := components[i].Close(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
