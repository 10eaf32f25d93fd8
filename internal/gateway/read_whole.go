package gateway

import (
	"errors"
	"io"
)

var errNoMemory = errors.New("the memory for bodies and answers is in use")

// unaccountedBytes is what each body, answer and event may take without a reservation.
const unaccountedBytes = 16 << 10

// readWhole reads to the end, or until reserve fails: then it returns what it has read and
// errNoMemory. length is the stated length, negative for none.
func readWhole(from io.Reader, length int64, reserve func(int64) bool) ([]byte, error) {
	size := int64(unaccountedBytes)
	if length > size {
		if !reserve(length) {
			return nil, errNoMemory
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
		size = max(int64(len(buf)), unaccountedBytes)
		if !reserve(size) {
			return buf, errNoMemory
		}
		grown := make([]byte, len(buf), 2*size+1)
		copy(grown, buf)
		buf = grown
	}
}
