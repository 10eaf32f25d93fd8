package exposure

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// RowPrefix begins the keys of exposure rows.
const RowPrefix = "exposure/"

// RowKey returns the key of a version's row.
func RowKey(version string) string { return RowPrefix + version }

// Row counts the answers of one staged version that were granted.
type Row struct {
	// Granted only grows.
	Granted int `json:"granted"`
	// Open says that the ratings are in and good: the cap binds no more.
	Open bool `json:"open"`
}

// ParseRow reads a row; no bytes are a row that was never written.
func ParseRow(value []byte) (Row, error) {
	var r Row
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, eris.Wrap(err, "exposure row")
}

// Bytes is the form in the table.
func (r Row) Bytes() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of a number and a truth value can be written
	}
	return data
}

// take grants up to want more answers under the cap.
func (r Row) take(want, limit int) (Row, int) {
	units := max(min(want, limit-r.Granted), 0)
	r.Granted += units
	return r, units
}
