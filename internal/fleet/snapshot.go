package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/rotisserie/eris"
)

// EncodeRecords encodes records as compressed gob data for persistent storage.
func EncodeRecords(records []Record) ([]byte, error) {
	var out bytes.Buffer
	compressed, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress records")
	}
	if err := gob.NewEncoder(compressed).Encode(NewRecordColumns(records)); err != nil {
		return nil, eris.Wrap(err, "encode records")
	}
	if err := compressed.Close(); err != nil {
		return nil, eris.Wrap(err, "compress records")
	}
	return out.Bytes(), nil
}

// maxRecordsBytes is the maximum size of decompressed records, in bytes: more than 10,000
// upstreams take.
const maxRecordsBytes = 16 << 20

// DecodeRecords decodes the data of [EncodeRecords]. Data after it is ignored, and
// incomplete, invalid or too large data is an error.
func DecodeRecords(data []byte) ([]Record, error) {
	var columns RecordColumns
	if err := gob.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordsBytes)).Decode(&columns); err != nil {
		return nil, eris.Wrap(err, "decode records")
	}
	records, ok := columns.Records()
	if !ok {
		return nil, eris.New("decode records: columns differ in length")
	}
	return records, nil
}
