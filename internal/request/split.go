package request

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// Object splits a JSON object into its members without copying them. The data
// must be valid JSON; ok is false when it is no object. A name that comes twice
// keeps its last value, as with encoding/json.
func Object(data []byte) (fields Fields, ok bool) {
	s := splitter{rest: data}
	if s.peek() != '{' {
		return nil, false
	}
	fields = Fields{}
	for s.next() {
		name := s.value()
		s.peek() // the colon
		s.rest = s.rest[1:]
		fields[nameOf(name)] = s.value()
	}
	return fields, true
}

// List splits a JSON list into its elements without copying them. The data must
// be valid JSON; ok is false when it is no list.
func List(data []byte) (elements []json.RawMessage, ok bool) {
	s := splitter{rest: data}
	if s.peek() != '[' {
		return nil, false
	}
	for s.next() {
		elements = append(elements, s.value())
	}
	return elements, true
}

// splitter walks over valid JSON.
type splitter struct{ rest []byte }

// peek returns the next byte that is not space, or 0 at the end.
func (s *splitter) peek() byte {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) == 0 {
		return 0
	}
	return s.rest[0]
}

// next passes over an opening bracket or a comma; it is false at the closing
// bracket.
func (s *splitter) next() bool {
	if closes(s.peek()) {
		return false
	}
	s.rest = s.rest[1:]
	return !closes(s.peek())
}

func closes(c byte) bool { return c == '}' || c == ']' }

// value cuts the next value.
func (s *splitter) value() json.RawMessage {
	var n int
	switch s.peek() {
	case '"':
		n = textLen(s.rest)
	case '{', '[':
		n = nestedLen(s.rest)
	default:
		n = bytes.IndexAny(s.rest, ",]} \t\r\n")
	}
	v := s.rest[:n:n]
	s.rest = s.rest[n:]
	return json.RawMessage(v)
}

// textLen is the length of the string at the beginning, its quotes included.
func textLen(data []byte) int {
	n := 1
	for {
		quote := bytes.IndexByte(data[n:], '"')
		escape := bytes.IndexByte(data[n:n+quote], '\\')
		if escape < 0 {
			return n + quote + 1
		}
		n += escape + len(`\"`)
	}
}

// nestedLen is the length of the object or list at the beginning.
func nestedLen(data []byte) int {
	depth := 0
	for n := 0; ; {
		switch data[n] {
		case '"':
			n += textLen(data[n:])
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		n++
		if depth == 0 {
			return n
		}
	}
}

// nameOf decodes a member's name.
func nameOf(quoted []byte) string {
	inner := quoted[1 : len(quoted)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner)
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		panic(err) // the data is valid JSON
	}
	return name
}
