package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/hickorybank/hickorybank/internal/intake"
)

var errTruncatedEvent = errors.New("stream ended inside an event")
var errEventOutOfOrder = errors.New("event does not follow the last one")
var errEventTooLong = fmt.Errorf("event is longer than %d bytes", maxEventBytes)

// eventReader splits a stream of server-sent events into complete events whose numeric IDs grow.
type eventReader struct {
	from io.Reader
	// last is the number of the last event; negative before the first one with a number.
	last    int64
	pending []byte
	buf     [readBufferBytes]byte
	// ready is what await has read; nil for nothing.
	ready *readEvents
	// reserve takes memory for an event beyond intake.UnreservedBytes, reserved what it has taken; nil
	// for no account.
	reserve  func(int64) bool
	reserved int64
}

// readEvents is what one read of an [eventReader] has returned.
type readEvents struct {
	events []byte
	id     string
	count  int
	err    error
}

// await reads until there is a complete event or an error, which the following next returns.
func (s *eventReader) await() *readEvents {
	for s.ready == nil {
		events, id, count, err := s.next()
		if count > 0 || err != nil {
			s.ready = &readEvents{events, id, count, err}
		}
	}
	return s.ready
}

// newEventReader returns a reader of the events that follow one with an ID, empty for the start.
func newEventReader(from io.Reader, after string) *eventReader {
	s := &eventReader{from: from, last: -1}
	if n, ok := eventNumber([]byte(after)); ok {
		s.last = n
	}
	return s
}

// newEventReader returns a reader of an upstream's events within the job's memory.
func (j *job) newEventReader(from io.Reader, after string) *eventReader {
	s := newEventReader(from, after)
	s.reserve = j.held.Reserve
	return s
}

// next returns the bytes of the events that are complete, the last event ID among them, and
// the number of events. The end of the stream inside an event is an error: the upstream
// broke off. So is an event that does not follow the last one; it is not returned.
func (s *eventReader) next() (events []byte, id string, count int, err error) {
	if r := s.ready; r != nil {
		s.ready = nil
		return r.events, r.id, r.count, r.err
	}
	n, err := s.from.Read(s.buf[:])
	s.pending = append(s.pending, s.buf[:n]...)
	end, count := completeEvents(s.pending)
	kept, id := s.inOrder(s.pending[:end])
	if kept < end {
		end, count = completeEvents(s.pending[:kept])
		err = errEventOutOfOrder
	}
	events = s.pending[:end:end]
	s.pending = s.pending[end:]
	switch {
	case err == io.EOF && isBlank(s.pending):
		events, s.pending = append(events, s.pending...), nil
	case err == io.EOF:
		err = errTruncatedEvent
	case err == nil && len(s.pending) > maxEventBytes:
		err = errEventTooLong
	case err == nil && !s.hasMemory():
		err = intake.ErrNoMemory
	}
	return events, id, count, err
}

// hasMemory reserves memory for what has come of an event; it reports whether there is any.
func (s *eventReader) hasMemory() bool {
	need := int64(len(s.pending)) - intake.UnreservedBytes - s.reserved
	if need <= 0 || s.reserve == nil {
		return true
	}
	need = max(need, intake.UnreservedBytes)
	if !s.reserve(need) {
		return false
	}
	s.reserved += need
	return true
}

// isBlank reports whether bytes are empty lines only.
func isBlank(b []byte) bool { return len(bytes.Trim(b, "\r\n")) == 0 }

// completeEvents returns the offset after the last complete event and the number of events.
// An event ends with an empty line. Further empty lines belong to the next event: an upstream may
// send them without end.
func completeEvents(b []byte) (end, count int) {
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
				end = i + 1
			}
			empty = true
		} else {
			empty = false
		}
		line = i + 1
	}
	return end, count
}

// inOrder returns how many bytes of complete events are of events in order, and the last "id:" field
// among them.
func (s *eventReader) inOrder(events []byte) (kept int, id string) {
	start, empty := 0, true // of the current event
	eventID, number := "", s.last
	for at := 0; at < len(events); {
		line, _, _ := bytes.Cut(events[at:], []byte("\n"))
		at += len(line) + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			if !empty {
				start, s.last = at, number
				if eventID != "" {
					id, eventID = eventID, ""
				}
			}
			empty = true
			continue
		}
		empty = false
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		value = bytes.TrimSpace(value)
		if n, ok := eventNumber(value); ok {
			if n <= number {
				return start, id
			}
			number = n
		}
		eventID = string(value)
	}
	return len(events), id
}

// eventNumber returns the number that an event ID is; ok is false for any other ID.
func eventNumber(id []byte) (n int64, ok bool) {
	n, err := strconv.ParseInt(string(id), 10, 64)
	return n, err == nil && n >= 0
}
