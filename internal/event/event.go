package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log record, identified by its number.
type Event struct {
	// Number is the stable number, for example 1001; the attribute "event" of the record.
	Number int
	// Name is the message of the log record.
	Name  string
	Level slog.Level
}

// Log writes a record with the event's level, name and number, and further attributes.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, all...)
}
