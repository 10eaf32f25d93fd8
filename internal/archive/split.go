package archive

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Field is one field of a JSON object.
type Field struct {
	// Name is the decoded name.
	Name string
	// Value is the encoded value.
	Value json.RawMessage
}

var errNotCompact = eris.New("not compact JSON")

// Fields returns the fields of a compact JSON object in their order.
//
// It searches for the ends of values only and does not validate them, since states are
// validated once, when they are read from a table. A library that validates each time
// takes 25 ms for 580 kB; Fields takes 1 ms. A wrong result for invalid JSON is
// detected by the digest of the state that a delta leads to.
func Fields(object []byte) ([]Field, error) {
	var fields []Field
	err := splitValues(object, '{', '}', func(value []byte) error {
		end := valueEnd(value, 0)
		if end >= len(value) || value[0] != '"' || value[end] != ':' || end+1 == len(value) {
			return errNotCompact
		}
		f := Field{Value: value[end+1:]}
		if err := json.Unmarshal(value[:end], &f.Name); err != nil {
			return eris.Wrap(err, "decode field name")
		}
		fields = append(fields, f)
		return nil
	})
	return fields, err
}

// Elements returns the encoded elements of a compact JSON array. ok is false for other
// values. Like Fields, it does not validate the elements.
func Elements(value json.RawMessage) (elements []json.RawMessage, ok bool) {
	err := splitValues(value, '[', ']', func(element []byte) error {
		elements = append(elements, element)
		return nil
	})
	return elements, err == nil
}

// splitValues calls each with the parts between the top-level commas of an object or an
// array, which begins with open and ends with end.
func splitValues(data []byte, open, end byte, each func(part []byte) error) error {
	if len(data) < 2 || data[0] != open || data[len(data)-1] != end {
		return errNotCompact
	}
	inner := data[1 : len(data)-1]
	for i := 0; i < len(inner); i++ {
		begin := i
		i = partEnd(inner, i)
		if i == begin {
			return errNotCompact
		}
		if err := each(inner[begin:i:i]); err != nil {
			return err
		}
		if i == len(inner)-1 {
			return errNotCompact // trailing comma
		}
	}
	return nil
}

// partEnd returns the index at which the part that begins at data[i] ends: that of the
// next comma outside of nested values, or len(data).
func partEnd(data []byte, i int) int {
	for i < len(data) && data[i] != ',' {
		end := valueEnd(data, i)
		if end == i {
			end++ // a colon
		}
		i = end
	}
	return min(i, len(data))
}

// valueEnd returns the index after the value that begins at data[i].
func valueEnd(data []byte, i int) int {
	depth := 0
	for i < len(data) {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
			if depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth <= 0 {
				return i + 1
			}
		case ',', ':':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return len(data)
}

// stringEnd returns the index after the closing quote of the string that begins at
// data[i].
func stringEnd(data []byte, i int) int {
	i++
	for {
		quote := bytes.IndexByte(data[i:], '"')
		if quote < 0 {
			return len(data)
		}
		i += quote + 1
		if !escaped(data, i-1) {
			return i
		}
	}
}

// escaped reports whether an odd number of backslashes precedes data[i].
func escaped(data []byte, i int) bool {
	count := 0
	for i--; i >= 0 && data[i] == '\\'; i-- {
		count++
	}
	return count%2 == 1
}

// findField returns the value of the field with the given name.
func findField(fields []Field, name string) (json.RawMessage, bool) {
	for _, f := range fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return nil, false
}
