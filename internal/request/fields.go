package request

import "encoding/json"

// Fields are the fields of a chat request's body, as the caller sent them.
type Fields map[string]json.RawMessage

// BodyFor returns the body for an engine: the caller's fields with the model
// set to the version and streaming on.
func (f Fields) BodyFor(version string) ([]byte, error) {
	out := make(Fields, len(f)+1)
	for name, raw := range f {
		out[name] = raw
	}
	model, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	out["model"] = model
	out["stream"] = json.RawMessage("true")
	return json.Marshal(out)
}
