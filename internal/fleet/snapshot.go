package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/gob"

	"github.com/rotisserie/eris"
)

// EncodeRecords encodes records for a place that outlives the process.
func EncodeRecords(records []Record) ([]byte, error) {
	var out bytes.Buffer
	packed, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "records")
	}
	if err := gob.NewEncoder(packed).Encode(records); err != nil {
		return nil, eris.Wrap(err, "records")
	}
	if err := packed.Close(); err != nil {
		return nil, eris.Wrap(err, "records")
	}
	return out.Bytes(), nil
}

// DecodeRecords decodes what [EncodeRecords] made; what follows it is left.
func DecodeRecords(data []byte) ([]Record, error) {
	var records []Record
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(data))).Decode(&records); err != nil {
		return nil, eris.Wrap(err, "records")
	}
	return records, nil
}
