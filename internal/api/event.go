package api

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// appendEvent appends a server-sent event. If seq is 0, the event has no ID.
func appendEvent(out []byte, seq int, data []byte) []byte {
	out = appendEventStart(out, seq)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

// appendEventStart appends the start of a server-sent event, up to its data.
func appendEventStart(out []byte, seq int) []byte {
	if seq > 0 {
		out = append(out, "id: "...)
		out = strconv.AppendInt(out, int64(seq), 10)
		out = append(out, '\n')
	}
	return append(out, "data: "...)
}

// appendJSONString appends text as a JSON string, with the same bytes as encoding/json.
func appendJSONString(out []byte, text string) []byte {
	if !isUnescaped(text) {
		quoted, err := json.Marshal(text)
		if err != nil {
			panic(err) // a string can always be encoded
		}
		return append(out, quoted...)
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

// isUnescaped reports whether encoding/json writes the text without escapes.
func isUnescaped(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c >= utf8.RuneSelf:
			return false
		case c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c == 0x7f:
			return false
		}
	}
	return true
}
