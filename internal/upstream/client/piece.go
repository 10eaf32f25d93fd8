package client

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// The fixed parts of an encoded chunk, in the order in which engines write them.
var (
	attemptStart = []byte(`{"attempt":"`)
	seqStart     = []byte(`","seq":`)
	textStart    = []byte(`,"text":"`)
	chunkEnd     = []byte(`"}`)
)

// maxSeqDigits is the maximum number of digits of a chunk's number, so that it fits into
// 32 bits.
const maxSeqDigits = 9

// chunkParser parses the chunks of a stream. Nearly all have the same form, which is
// parsed without encoding/json for speed. Any other input is passed to encoding/json.
type chunkParser struct{ attempt string }

func (p *chunkParser) parse(data []byte) (upstream.Chunk, error) {
	if c, ok := p.parseFast(data); ok {
		return c, nil
	}
	var c upstream.Chunk
	err := json.Unmarshal(data, &c)
	return c, err
}

// parseFast parses the form {"attempt":"…","seq":…,"text":"…"} without escapes. It
// returns false for any other input.
func (p *chunkParser) parseFast(data []byte) (upstream.Chunk, bool) {
	rest, ok := bytes.CutPrefix(data, attemptStart)
	if !ok {
		return upstream.Chunk{}, false
	}
	attempt, rest, ok := cutUnescaped(rest, seqStart)
	if !ok {
		return upstream.Chunk{}, false
	}
	seq, rest, ok := cutNumber(rest)
	if !ok {
		return upstream.Chunk{}, false
	}
	rest, ok = bytes.CutPrefix(rest, textStart)
	if !ok {
		return upstream.Chunk{}, false
	}
	text, rest, ok := cutUnescaped(rest, chunkEnd)
	if !ok || len(rest) > 0 {
		return upstream.Chunk{}, false
	}
	return upstream.Chunk{Attempt: p.attemptID(attempt), Seq: seq, Text: string(text)}, true
}

// attemptID returns the attempt as a string. It reuses the previous string if the attempt
// is the same, as it is throughout a stream.
func (p *chunkParser) attemptID(attempt []byte) string {
	if p.attempt != string(attempt) {
		p.attempt = string(attempt)
	}
	return p.attempt
}

// cutUnescaped splits data into a JSON string without escapes and the bytes after end,
// which must follow the string and begins with its closing quote.
func cutUnescaped(data, end []byte) (text, rest []byte, ok bool) {
	quote := bytes.IndexByte(data, '"')
	if quote < 0 || !isUnescaped(data[:quote]) {
		return nil, nil, false
	}
	rest, ok = bytes.CutPrefix(data[quote:], end)
	return data[:quote], rest, ok
}

// isUnescaped reports whether the text is the content of a JSON string without escapes.
func isUnescaped(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// cutNumber splits data into a positive integer, which in JSON has no leading 0, and the
// rest.
func cutNumber(data []byte) (n int, rest []byte, ok bool) {
	digits := 0
	for digits < len(data) && data[digits] >= '0' && data[digits] <= '9' {
		n = n*10 + int(data[digits]-'0')
		digits++
		if digits > maxSeqDigits {
			return 0, nil, false
		}
	}
	return n, data[digits:], digits > 0 && data[0] != '0'
}
