package client

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// The parts of a piece in the order in which engines write them.
var (
	attemptPart = []byte(`{"attempt":"`)
	seqPart     = []byte(`","seq":`)
	textPart    = []byte(`,"text":"`)
	pieceEnd    = []byte(`"}`)
)

// maxSeqDigits keeps a piece's number within an int of 32 bits.
const maxSeqDigits = 9

// pieces parses pieces. Nearly all of a stream have one form, which is read
// without encoding/json; whatever deviates by one byte is left to it.
type pieces struct{ attempt string }

func (p *pieces) parse(data []byte) (upstream.Chunk, error) {
	if c, ok := p.common(data); ok {
		return c, nil
	}
	var c upstream.Chunk
	err := json.Unmarshal(data, &c)
	return c, err
}

// common reads the form {"attempt":"…","seq":…,"text":"…"} without escapes.
func (p *pieces) common(data []byte) (upstream.Chunk, bool) {
	rest, ok := bytes.CutPrefix(data, attemptPart)
	if !ok {
		return upstream.Chunk{}, false
	}
	attempt, rest, ok := cutPlain(rest, seqPart)
	if !ok {
		return upstream.Chunk{}, false
	}
	seq, rest, ok := cutNumber(rest)
	if !ok {
		return upstream.Chunk{}, false
	}
	rest, ok = bytes.CutPrefix(rest, textPart)
	if !ok {
		return upstream.Chunk{}, false
	}
	text, rest, ok := cutPlain(rest, pieceEnd)
	if !ok || len(rest) > 0 {
		return upstream.Chunk{}, false
	}
	return upstream.Chunk{Attempt: p.name(attempt), Seq: seq, Text: string(text)}, true
}

// name keeps the attempt's name, which is the same in a whole stream.
func (p *pieces) name(attempt []byte) string {
	if p.attempt != string(attempt) {
		p.attempt = string(attempt)
	}
	return p.attempt
}

// cutPlain cuts a string that stands for itself, up to its quote and what must
// follow there.
func cutPlain(data, end []byte) (text, rest []byte, ok bool) {
	quote := bytes.IndexByte(data, '"')
	if quote < 0 || !plainText(data[:quote]) {
		return nil, nil, false
	}
	rest, ok = bytes.CutPrefix(data[quote:], end)
	return data[:quote], rest, ok
}

func plainText(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}

// cutNumber cuts a positive number, which JSON writes without a leading 0.
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
