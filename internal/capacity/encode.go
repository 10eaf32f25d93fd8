package capacity

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"
)

// gobSize is how many bytes a value takes in a gob stream that has carried its
// type before, as on a connection that peers keep.
func gobSize(v any) (float64, error) {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	if err := enc.Encode(v); err != nil {
		return 0, eris.Wrap(err, "encode")
	}
	first := buf.Len()
	if err := enc.Encode(v); err != nil {
		return 0, eris.Wrap(err, "encode")
	}
	return float64(buf.Len() - first), nil
}
