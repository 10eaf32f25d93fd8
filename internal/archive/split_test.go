package archive

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzSplit compares the parts of any compact JSON with those from encoding/json. For
// other input, Fields and Elements must only terminate without a panic.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{
		`{"a":1,"b":[1,2,{"c":"x,y]}\\\""}],"c,\"d":null}`, `[]`, `{}`, `[[],{},"",-1.5e3,true]`, `["\\\\","\\\"",","]`,
		`{"a":}`, `[1,]`, `[,1]`, `{"a"}`, `{`, `[`, `"`, `{"a":"\\`, `{"a":1,}`, `{1:2}`, `["`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fields, objectErr := Fields(data)
		elements, ok := Elements(data)
		compact, err := Compact(data)
		if err != nil || !bytes.Equal(compact, data) {
			return
		}
		var want []json.RawMessage
		if json.Unmarshal(data, &want) == nil && want != nil {
			if !ok || len(want) != len(elements) || len(want) > 0 && !reflect.DeepEqual(want, elements) {
				t.Fatalf("%s: %q, %v, want %q", data, elements, ok, want)
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(data, &object) != nil || object == nil {
			return
		}
		if objectErr != nil {
			t.Fatalf("%s: %v", data, objectErr)
		}
		got := map[string]json.RawMessage{}
		for _, f := range fields {
			got[f.Name] = f.Value
		}
		if !reflect.DeepEqual(got, object) {
			t.Fatalf("%s: %q, want %q", data, got, object)
		}
	})
}
