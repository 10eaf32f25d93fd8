package api

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/request"
)

// FuzzStreamedText compares the events of a stream, which are assembled without
// encoding/json, with the output of encoding/json. They must be equal byte for byte.
func FuzzStreamedText(f *testing.F) {
	for _, s := range []string{"", "token ", "a\"b\\c\n", "<añ&\u2028>", "\xff\x00\x7f"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		w := httptest.NewRecorder()
		s := newStreamSink(w)
		s.Begin(request.Head{Version: "dues@1"})
		is.NoErr(s.Text(1, text))
		is.NoErr(s.Text(2, text))
		want := ""
		for seq, c := range []*content{{Role: roleAssistant, Content: text}, {Content: text}} {
			chunk := s.head
			chunk.Choices = []choice{{Delta: c}}
			data, err := json.Marshal(chunk)
			is.NoErr(err)
			want += "id: " + string(rune('1'+seq)) + "\ndata: " + string(data) + "\n\n"
		}
		is.Equal(w.Body.String(), want)
		is.True(!strings.Contains(text, "\n") || strings.Count(w.Body.String(), "\n") == 6)
	})
}
