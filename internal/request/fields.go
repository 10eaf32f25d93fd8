package request

import (
	"encoding/json"
	"maps"
	"slices"
)

// Fields are the fields of a chat request's body, as the caller sent them:
// valid JSON each.
type Fields map[string]json.RawMessage

// bodyOverhead is room for the fields that are set, quotes and commas.
const bodyOverhead = 128

// BodyFor returns the body for an engine: the caller's fields, untouched, with
// the model set to the version and streaming on.
func (f Fields) BodyFor(version string) ([]byte, error) {
	model, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	out := append(f.room(), `{"model":`...)
	out = append(out, model...)
	out = append(out, `,"stream":true`...)
	for _, name := range slices.Sorted(maps.Keys(f)) {
		if name == "model" || name == "stream" {
			continue
		}
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		out = append(out, ',')
		out = append(out, quoted...)
		out = append(out, ':')
		out = append(out, f[name]...)
	}
	return append(out, '}'), nil
}

// room is a buffer that the whole body fits into, or nearly.
func (f Fields) room() []byte {
	size := bodyOverhead
	for name, raw := range f {
		size += len(name) + len(raw) + len(`"":,`)
	}
	return make([]byte, 0, size)
}
