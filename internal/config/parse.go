package config

import (
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
)

// Parse reads a document strictly. Unknown fields, repeated fields and values of the wrong type
// give a [Faults] error with the path of each. Text that is not exactly one JSON value gives an
// error of another type. Parse does not validate the document.
func Parse(data []byte) (*Document, error) { return Decode[Document](data) }

// Decode reads one entity of a document, such as an [Organisation], as strictly as [Parse] does.
// Paths of faults are relative to the entity.
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
