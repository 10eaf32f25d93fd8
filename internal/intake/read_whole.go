package intake

import (
	"errors"
	"io"
)

// ErrNoMemory means that the account has no memory left for what is read.
var ErrNoMemory = errors.New("the memory for bodies and answers is in use")

// UnreservedBytes is what each body, answer and event may take without a reservation.
const UnreservedBytes = 16 << 10

// ReadWhole reads to the end, or until reserve fails: then it returns what it has read and
// ErrNoMemory. length is the stated length, negative for none.
func ReadWhole(from io.Reader, length int64, reserve func(int64) bool) ([]byte, error) {
	size := int64(UnreservedBytes)
	if length > size {
		if !reserve(length) {
			return nil, ErrNoMemory
		}
		size = length
	} else if length >= 0 {
		size = length
	}
	buf := make([]byte, 0, size+1) // a further byte shows whether the end is reached
	for {
		n, err := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		case len(buf) < cap(buf):
			continue
		}
		size = max(int64(len(buf)), UnreservedBytes)
		if !reserve(size) {
			return buf, ErrNoMemory
		}
		grown := make([]byte, len(buf), 2*size+1)
		copy(grown, buf)
		buf = grown
	}
}
