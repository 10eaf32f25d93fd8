package archive

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDecompressedBytes is the maximum size of decompressed data, in bytes. A row of the
// table is far smaller.
const maxDecompressedBytes = 64 << 20

// Compress compresses data with DEFLATE.
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic("flate does not know its own default level")
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// decompress decompresses the output of Pack. It returns an error if the result is
// larger than maxDecompressedBytes, so that a small input cannot exhaust memory.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(data) > maxDecompressedBytes {
		return nil, eris.Errorf("decompressed data exceeds %d bytes", maxDecompressedBytes)
	}
	return data, nil
}
