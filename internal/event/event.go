package event

import (
	"context"
	"log/slog"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number is the stable number, for example 1001.
	Number int
	// Name is the message of the log record.
	Name  string
	Level slog.Level
}

// Log writes the event with its number and attributes.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, all...)
}
