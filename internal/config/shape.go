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

// shape compares a JSON text with the Go type that it is to be read into.
//
// It guards against two silent losses of encoding/json: a misspelt field is
// dropped (or, in strict mode, refused without its place), and of a field that
// stands twice, or in two spellings of case, only the last counts. Either
// would put a configuration in force that its writer did not write.
type shape struct {
	decoder *json.Decoder
	faults  Faults
}

// checkShape returns all faults; the error is of a text that is not one JSON
// value.
func checkShape(data []byte, t reflect.Type) (Faults, error) {
	s := &shape{decoder: json.NewDecoder(bytes.NewReader(data))}
	s.decoder.UseNumber()
	if err := s.value(t, ""); err != nil {
		return nil, err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("there is data after the document")
	}
	return s.faults, nil
}

func (s *shape) value(t reflect.Type, path string) error {
	token, err := s.decoder.Token()
	if err != nil {
		return noEOF(err)
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

func (s *shape) object(t reflect.Type, path string, open json.Token) error {
	if open != json.Delim('{') {
		return s.mismatch(path, "an object", open)
	}
	seen := map[string]bool{}
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return noEOF(err)
		}
		name, _ := token.(string) // a key is always text
		if err := s.member(t, join(path, name), name, seen); err != nil {
			return err
		}
	}
	return s.end()
}

func (s *shape) member(t reflect.Type, path, name string, seen map[string]bool) error {
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

func (s *shape) list(t reflect.Type, path string, open json.Token) error {
	if open == nil {
		return nil // an absent list, as Go writes it
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

func (s *shape) scalar(t reflect.Type, path string, token json.Token) error {
	wanted, fits := scalarFits(t, token)
	if fits {
		return nil
	}
	return s.mismatch(path, wanted, token)
}

// mismatch notes a value of the wrong type and reads past it.
func (s *shape) mismatch(path, wanted string, token json.Token) error {
	if path == "" {
		path = "document"
	}
	s.faults.add(path, "must be "+wanted+", not "+describe(token))
	if _, opens := token.(json.Delim); opens {
		return s.skipOpen()
	}
	return nil
}

// end reads the closing mark of an object or a list.
func (s *shape) end() error {
	_, err := s.decoder.Token()
	return noEOF(err)
}

// skip reads past one value.
func (s *shape) skip() error {
	var raw json.RawMessage
	return noEOF(s.decoder.Decode(&raw))
}

// skipOpen reads past the rest of an object or list that is already open.
func (s *shape) skipOpen() error {
	for depth := 1; depth > 0; {
		token, err := s.decoder.Token()
		if err != nil {
			return noEOF(err)
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

func noEOF(err error) error {
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

// fieldOf finds a field by its exact JSON name.
func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
