package exposure

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// RowPrefix is the prefix of the keys of exposure rows.
const RowPrefix = "exposure/"

// RowKey returns the key of a version's exposure row.
func RowKey(version string) string { return RowPrefix + version }

// Row is the table's record of the grants of one staged version.
type Row struct {
	// Granted is the number of answers granted so far. It never decreases.
	Granted int `json:"granted"`
	// Open is set when the version has enough good ratings: the cap no longer applies.
	Open bool `json:"open"`
}

// ParseRow decodes a row. An empty value stands for a row that was never written.
func ParseRow(value []byte) (Row, error) {
	var r Row
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, eris.Wrap(err, "decode exposure row")
}

// Bytes returns the encoded row as stored in the table.
func (r Row) Bytes() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of an int and a bool always encodes
	}
	return data
}

// allocate grants up to want more units under the limit, and returns the new row and the
// number of units.
func (r Row) allocate(want, limit int) (Row, int) {
	units := max(min(want, limit-r.Granted), 0)
	r.Granted += units
	return r, units
}
