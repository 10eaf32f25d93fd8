package cli

import (
	"context"
	"log/slog"
	"os/signal"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

const stopTimeout = 60 * time.Second

// part is something that a command starts and stops.
type part interface {
	Start() error
	Close(ctx context.Context) error
}

// run starts the parts in order, calls ready, waits for SIGINT or SIGTERM and
// closes the parts in reverse order.
func run(log *slog.Logger, ready func() error, parts ...part) error {
	signals, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	for i, p := range parts {
		if err := p.Start(); err != nil {
			closeAll(parts[:i])
			return err
		}
	}
	if err := ready(); err != nil {
		closeAll(parts)
		return err
	}
	<-signals.Done()
	event.ProcessStopping.Log(log)
	err := closeAll(parts)
	event.ProcessStopped.Log(log)
	return err
}

func closeAll(parts []part) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var first error
	for i := len(parts) - 1; i >= 0; i-- {
		if err := parts[i].Close(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
