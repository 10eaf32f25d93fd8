package gateway

import (
	"bytes"
	"errors"
	"io"
)

var errPartEvent = errors.New("stream ended inside an event")
var errLongEvent = errors.New("event is too long")

// eventReader cuts a stream into whole events.
type eventReader struct {
	from io.Reader
	rest []byte
	buf  [eventBuffer]byte
}

// next returns the events that are complete, the ID of the last one that has
// one, and their number. An end inside an event is an error, as the upstream
// broke off there.
func (s *eventReader) next() (events []byte, id string, count int, err error) {
	n, err := s.from.Read(s.buf[:])
	s.rest = append(s.rest, s.buf[:n]...)
	end, count := wholeEvents(s.rest)
	events = s.rest[:end:end]
	s.rest = s.rest[end:]
	id = lastID(events)
	switch {
	case err == io.EOF && len(s.rest) > 0:
		err = errPartEvent
	case err == nil && len(s.rest) > mostEvent:
		err = errLongEvent
	}
	return events, id, count, err
}

// wholeEvents returns where the last complete event ends, and how many there
// are: an event ends with an empty line.
func wholeEvents(b []byte) (end, count int) {
	line := 0
	empty := true
	for i, c := range b {
		if c != '\n' {
			continue
		}
		text := bytes.TrimSuffix(b[line:i], []byte("\r"))
		if len(text) == 0 {
			if !empty {
				count++
			}
			empty = true
			end = i + 1
		} else {
			empty = false
		}
		line = i + 1
	}
	return end, count
}

// lastID returns the last "id:" of whole events.
func lastID(events []byte) string {
	id := ""
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		events = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
