package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// shapeChecker compares a JSON text with the Go type that it is to be decoded into.
//
// It prevents encoding/json from losing fields silently, which happens in two ways. A
// misspelt field is dropped (or, in strict mode, rejected without its path). Of a field
// that occurs twice, or in two spellings of case, only the last counts. Either would put
// a configuration in force that the operator did not intend.
type shapeChecker struct {
	decoder *json.Decoder
	faults  Faults
}

// checkShape returns all faults of the text. It returns an error if the text is not exactly one
// JSON value.
func checkShape(data []byte, t reflect.Type) (Faults, error) {
	s := &shapeChecker{decoder: json.NewDecoder(bytes.NewReader(data))}
	s.decoder.UseNumber()
	if err := s.value(t, ""); err != nil {
		return nil, err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("there is data after the document")
	}
	return s.faults, nil
}

func (s *shapeChecker) value(t reflect.Type, path string) error {
	token, err := s.decoder.Token()
	if err != nil {
		return unexpectedEOF(err)
	}
	switch t.Kind() {
	case reflect.Struct:
		return s.object(t, path, token)
	case reflect.Slice:
		return s.list(t, path, token)
	default:
		return s.scalar(t, path, token)
	}
}

func (s *shapeChecker) object(t reflect.Type, path string, open json.Token) error {
	if open != json.Delim('{') {
		return s.mismatch(path, "an object", open)
	}
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return unexpectedEOF(err)
		}
		name, _ := token.(string) // an object's key is always a string
		if err := s.member(t, join(path, name), name, seen); err != nil {
			return err
		}
	}
	return s.end()
}

func (s *shapeChecker) member(t reflect.Type, path, name string, seen map[string]bool) error {
	field, known := fieldOf(t, name)
	if !known {
		s.faults.add(path, "is not a known field")
		return s.skip()
	}
	if seen[name] {
		s.faults.add(path, "stands twice")
	}
	seen[name] = true
	return s.value(field, path)
}

func (s *shapeChecker) list(t reflect.Type, path string, open json.Token) error {
	if open == nil {
		return nil // encoding/json writes a nil slice as null
	}
	if open != json.Delim('[') {
		return s.mismatch(path, "a list", open)
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return s.end()
}

func (s *shapeChecker) scalar(t reflect.Type, path string, token json.Token) error {
	wanted, fits := scalarFits(t, token)
	if fits {
		return nil
	}
	return s.mismatch(path, wanted, token)
}

// mismatch adds a fault for a value of the wrong type and skips the value.
func (s *shapeChecker) mismatch(path, wanted string, token json.Token) error {
	if path == "" {
		path = "document"
	}
	s.faults.add(path, "must be "+wanted+", not "+describe(token))
	if _, isDelim := token.(json.Delim); isDelim {
		return s.skipOpen()
	}
	return nil
}

// end reads the closing delimiter of an object or a list.
func (s *shapeChecker) end() error {
	_, err := s.decoder.Token()
	return unexpectedEOF(err)
}

// skip skips one value.
func (s *shapeChecker) skip() error {
	var raw json.RawMessage
	return unexpectedEOF(s.decoder.Decode(&raw))
}

// skipOpen skips the rest of an object or list whose opening delimiter has been read.
func (s *shapeChecker) skipOpen() error {
	for depth := 1; depth > 0; {
		token, err := s.decoder.Token()
		if err != nil {
			return unexpectedEOF(err)
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// unexpectedEOF turns the end of the text within a value into [io.ErrUnexpectedEOF].
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldOf returns the type of the field with exactly that JSON name.
func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
