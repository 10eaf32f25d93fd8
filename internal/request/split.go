package request

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// SplitObject splits a JSON object into its members without copying the values. The data must be
// valid JSON; ok is false when it is not an object. The last value of a duplicate name
// applies, as in encoding/json.
func SplitObject(data []byte) (fields Fields, ok bool) {
	s := splitter{rest: data}
	if s.peek() != '{' {
		return nil, false
	}
	fields = Fields{}
	for s.advance() {
		name := s.value()
		s.peek() // the colon
		s.rest = s.rest[1:]
		fields[decodeName(name)] = s.value()
	}
	return fields, true
}

// SplitArray splits a JSON array into its elements without copying them. The data must be valid
// JSON; ok is false when it is not an array.
func SplitArray(data []byte) (elements []json.RawMessage, ok bool) {
	s := splitter{rest: data}
	if s.peek() != '[' {
		return nil, false
	}
	for s.advance() {
		elements = append(elements, s.value())
	}
	return elements, true
}

// splitter scans valid JSON; rest is the part not yet consumed.
type splitter struct{ rest []byte }

// peek skips white space and returns the next byte, or 0 at the end.
func (s *splitter) peek() byte {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) == 0 {
		return 0
	}
	return s.rest[0]
}

// advance skips an opening bracket or a comma and reports whether a member or element follows.
func (s *splitter) advance() bool {
	if isClosing(s.peek()) {
		return false
	}
	s.rest = s.rest[1:]
	return !isClosing(s.peek())
}

func isClosing(c byte) bool { return c == '}' || c == ']' }

// value consumes and returns the next value.
func (s *splitter) value() json.RawMessage {
	var n int
	switch s.peek() {
	case '"':
		n = stringLen(s.rest)
	case '{', '[':
		n = nestedLen(s.rest)
	default:
		n = bytes.IndexAny(s.rest, ",]} \t\r\n")
	}
	v := s.rest[:n:n]
	s.rest = s.rest[n:]
	return json.RawMessage(v)
}

// stringLen returns the length of the string at the start of data, including its quotes.
func stringLen(data []byte) int {
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

// nestedLen returns the length of the object or array at the start of data.
func nestedLen(data []byte) int {
	depth := 0
	for n := 0; ; {
		switch data[n] {
		case '"':
			n += stringLen(data[n:])
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

// decodeName decodes the quoted name of a member.
func decodeName(quoted []byte) string {
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
