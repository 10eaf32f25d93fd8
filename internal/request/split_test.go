package request

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// FuzzObject compares SplitObject and SplitArray with encoding/json: both must yield the same
// members with the same bytes, and BodyFor must change only model and stream.
func FuzzObject(f *testing.F) {
	for _, s := range []string{
		`{}`, `[]`, ` { "a" : 1 , "b":[ {"c":"]}\""} , null ] } `, `{"a":"\\","a":{},"b":-1.5e3}`, `{"\u0061\"":true}`,
		`[1, "a,]", [2,[3]], {"x":[]}]`, "{\"\xff\":0}", `"x"`, `null`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		if !json.Valid(in) {
			return
		}
		is := is.New(t)
		var members map[string]json.RawMessage
		isObject := bytes.HasPrefix(bytes.TrimLeft(in, " \t\r\n"), []byte("{"))
		got, ok := SplitObject(in)
		is.Equal(ok, isObject)
		if ok {
			is.NoErr(json.Unmarshal(in, &members))
			is.Equal(map[string]json.RawMessage(got), members)
			body, err := got.BodyFor("v@1")
			is.NoErr(err)
			checkBody(t, members, body)
		}
		var elements []json.RawMessage
		if list, ok := SplitArray(in); ok {
			is.NoErr(json.Unmarshal(in, &elements))
			is.Equal(len(list), len(elements))
			for i := range list {
				is.Equal(list[i], elements[i])
			}
		}
	})
}

// checkBody checks that body equals members except for model and stream.
func checkBody(t *testing.T, members map[string]json.RawMessage, body []byte) {
	t.Helper()
	is := is.New(t)
	members["model"] = json.RawMessage(`"v@1"`)
	members["stream"] = json.RawMessage("true")
	var sent map[string]json.RawMessage
	is.NoErr(json.Unmarshal(body, &sent))
	is.Equal(sent, members)
}
