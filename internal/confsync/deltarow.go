package confsync

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// DeltaPrefix is the key prefix of the table's rows that hold deltas.
const DeltaPrefix = "config/delta/"

// DeltaKey returns the key of the delta that leads to a revision from the previous one. Keys
// sort by revision.
func DeltaKey(revision uint64) string { return fmt.Sprintf("%s%020d", DeltaPrefix, revision) }

// EncodeDelta encodes a delta as the value of its row. The writer of a revision may store the
// row with the document in one transaction; without it readers read the full document.
func EncodeDelta(d archive.Delta) ([]byte, error) {
	value, err := json.Marshal(d)
	return value, eris.Wrap(err, "encode delta's row")
}

// DecodeDelta decodes the value of a delta's row.
func DecodeDelta(value []byte) (archive.Delta, error) {
	var d archive.Delta
	err := json.Unmarshal(value, &d)
	return d, eris.Wrap(err, "decode delta's row")
}
