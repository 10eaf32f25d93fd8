package event

import "log/slog"

var catalogue []Event

// define registers an event. It panics if the number is already in use.
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

// Catalogue returns a copy of the list of all events, in the order of their definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
