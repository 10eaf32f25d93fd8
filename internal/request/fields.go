package request

import (
	"encoding/json"
	"maps"
	"slices"
)

// Fields maps the names of a chat request's body fields to their raw JSON values, as the
// caller sent them.
type Fields map[string]json.RawMessage

// bodyOverhead is the capacity in bytes reserved for the fields that BodyFor sets and for
// quotes and commas.
const bodyOverhead = 128

// BodyFor returns the body for an engine: the caller's fields unchanged, with model set to
// the version and stream set to true.
func (f Fields) BodyFor(version string) ([]byte, error) {
	model, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	out := append(f.newBuffer(), `{"model":`...)
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

// newBuffer returns an empty buffer with about the capacity of the complete body.
func (f Fields) newBuffer() []byte {
	size := bodyOverhead
	for name, raw := range f {
		size += len(name) + len(raw) + len(`"":,`)
	}
	return make([]byte, 0, size)
}
