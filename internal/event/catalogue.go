package event

import "log/slog"

var catalogue []Event

// define registers an event; a number used twice is a broken invariant.
func define(number int, level slog.Level, name string) Event {
	for _, e := range catalogue {
		if e.Number == number {
			panic("event number used twice: " + name)
		}
	}
	e := Event{Number: number, Name: name, Level: level}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, in order of definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
