package capacity

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"
)

// gobSize returns the encoded size of v in a gob stream that has already sent its type, as on a
// kept connection between peers.
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
