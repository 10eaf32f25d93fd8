package config

import (
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
)

// Parse reads a document strictly. Unknown and repeated fields and values of
// the wrong type are a [Faults] error that names each by its path; a text that
// is not one JSON value is any other error. The document is not yet validated.
func Parse(data []byte) (*Document, error) { return Decode[Document](data) }

// Decode reads one entity of a document, such as an [Organisation], as
// strictly as [Parse]. Paths are relative to the entity.
func Decode[T any](data []byte) (*T, error) {
	faults, err := checkShape(data, reflect.TypeFor[T]())
	if err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	return v, nil
}
