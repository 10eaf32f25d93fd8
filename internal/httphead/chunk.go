package httphead

import (
	"fmt"
	"strings"
)

func (c *Checker) beginChunk() { c.state, c.chunkLeft, c.chunkDigits = chunkLength, 0, 0 }

// stepChunk takes a byte between the data of two chunks.
func (c *Checker) stepChunk(b byte) string {
	switch c.state {
	case chunkLength:
		if digit := hexDigit(b); digit >= 0 {
			c.chunkLeft = c.chunkLeft<<4 | uint64(digit)
			if c.chunkDigits++; c.chunkDigits > maxChunkDigits {
				return fmt.Sprintf("the length of a chunk has more than %d digits", maxChunkDigits)
			}
			return ""
		}
		if c.chunkDigits == 0 || strings.IndexByte("\r\n; \t", b) < 0 {
			return fmt.Sprintf("the length of a chunk has byte %#02x", b)
		}
		c.state = chunkExtension
		fallthrough
	case chunkExtension:
		if b != '\n' {
			return ""
		}
		if c.chunkLeft > 0 {
			c.state = chunkData
			return ""
		}
		c.inTrailer, c.state, c.line = true, lineStart, 1
	case chunkEnd:
		switch b {
		case '\n':
			c.beginChunk()
		case '\r':
		default:
			return fmt.Sprintf("byte %#02x follows the data of a chunk", b)
		}
	}
	return ""
}

// hexDigit returns the value of a hexadecimal digit; negative for other bytes.
func hexDigit(b byte) int {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0')
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}
