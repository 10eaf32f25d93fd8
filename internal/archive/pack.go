package archive

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxPlain bounds what is unpacked: a row of the table holds far less.
const maxPlain = 64 << 20

// Pack compresses a state.
func Pack(plain []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic("flate does not know its own default level")
	}
	// A buffer's writes do not fail.
	_, _ = w.Write(plain)
	_ = w.Close()
	return b.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxPlain+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	if len(plain) > maxPlain {
		return nil, eris.Errorf("unpacks to more than %d bytes", maxPlain)
	}
	return plain, nil
}
