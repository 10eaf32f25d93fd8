package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// sourceState is what the node knows of the table's health.
type sourceState struct {
	down bool
	// since is when the present state began.
	since time.Time
}

// sourceResult notes how a call of the table went.
func (n *Node) sourceResult(call string, err error) {
	now := time.Now()
	n.mu.Lock()
	was := n.sources
	if was.down != (err != nil) {
		n.sources = sourceState{down: err != nil, since: now}
	}
	n.mu.Unlock()
	switch {
	case err != nil && !was.down:
		event.SourceLost.Log(n.log, slog.String("call", call), slog.String("err", err.Error()))
	case err == nil && was.down:
		event.SourceBack.Log(n.log, slog.String("call", call), slog.Duration("away", now.Sub(was.since)))
	}
}
