package node

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger"
)

// logUnbilled logs that the bill of a request's answer could not be made safe.
func (n *Node) logUnbilled(b ledger.Bill, request string, err error) {
	event.AnswerUnbilled.Log(n.deps.Log, slog.String("request", request), slog.String("org", b.Org), slog.String("key", b.Key), slog.Any("error", err))
}
