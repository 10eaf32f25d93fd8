package claim

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// wireFloor is the JSON encoding of a floor.
type wireFloor struct {
	Bucket int64  `json:"bucket"`
	Seq    uint64 `json:"seq"`
}

// Encode returns the JSON encoding of the floor, without its version.
func (f Floor) Encode() ([]byte, error) {
	data, err := json.Marshal(wireFloor{f.Bucket, f.Seq})
	return data, eris.Wrap(err, "encode floor")
}

// DecodeFloor decodes a floor from the value and version of its row. It returns an
// error if the value is not valid JSON.
func DecodeFloor(version uint64, data []byte) (*Floor, error) {
	var w wireFloor
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, eris.Wrap(err, "decode floor")
	}
	return &Floor{Version: version, Bucket: w.Bucket, Seq: w.Seq}, nil
}
