package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Parse reads a document strictly: unknown fields and trailing data are
// refused. The document is not yet validated.
func Parse(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	doc := new(Document)
	if err := decoder.Decode(doc); err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.New("configuration: data after the document")
	}
	return doc, nil
}
