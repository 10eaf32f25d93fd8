package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// sourceHealth records whether calls of the table succeed.
type sourceHealth struct {
	down bool
	// since is when the present state began.
	since time.Time
}

// sourceResult records the result of a call of the table and logs when the state changes.
func (n *Node) sourceResult(call string, err error) {
	now := time.Now()
	n.mu.Lock()
	was := n.sourceHealth
	if was.down != (err != nil) {
		n.sourceHealth = sourceHealth{down: err != nil, since: now}
	}
	n.mu.Unlock()
	switch {
	case err != nil && !was.down:
		event.SourceLost.Log(n.log, slog.String("call", call), slog.String("err", err.Error()))
	case err == nil && was.down:
		event.SourceBack.Log(n.log, slog.String("call", call), slog.Duration("away", now.Sub(was.since)))
	}
}
