package api

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// appendEvent adds a server-sent event; a number of 0 gives it no id.
func appendEvent(out []byte, seq int, data []byte) []byte {
	out = appendID(out, seq)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

func appendID(out []byte, seq int) []byte {
	if seq > 0 {
		out = append(out, "id: "...)
		out = strconv.AppendInt(out, int64(seq), 10)
		out = append(out, '\n')
	}
	return append(out, "data: "...)
}

// appendText adds text as a JSON string, as encoding/json writes it.
func appendText(out []byte, text string) []byte {
	if !plain(text) {
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

// plain says that a text stands for itself in JSON.
func plain(text string) bool {
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
