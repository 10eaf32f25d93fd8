package archive

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// field is one field of a JSON object, undecoded.
type field struct {
	name  string
	value json.RawMessage
}

// splitObject returns the fields of a JSON object in their order.
func splitObject(object []byte) ([]field, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	if err := expect(d, json.Delim('{')); err != nil {
		return nil, err
	}
	var fields []field
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, eris.Wrap(err, "read field's name")
		}
		f := field{name: name.(string)} // names of JSON objects are strings
		if err := d.Decode(&f.value); err != nil {
			return nil, eris.Wrap(err, "read field "+f.name)
		}
		fields = append(fields, f)
	}
	return fields, expect(d, json.Delim('}'))
}

// splitArray returns the elements of a JSON array; ok is false for other values.
func splitArray(value json.RawMessage) (elements []json.RawMessage, ok bool) {
	if len(value) == 0 || value[0] != '[' {
		return nil, false
	}
	err := json.Unmarshal(value, &elements)
	return elements, err == nil
}

func expect(d *json.Decoder, want json.Delim) error {
	got, err := d.Token()
	if err != nil {
		return eris.Wrap(err, "read JSON")
	}
	if got != want {
		return eris.Errorf("found %v instead of %v", got, want)
	}
	return nil
}

func find(fields []field, name string) (json.RawMessage, bool) {
	for _, f := range fields {
		if f.name == name {
			return f.value, true
		}
	}
	return nil, false
}
