package config

import (
	"encoding/json"
	"errors"
	"testing"
)

// FuzzDocument parses arbitrary text as a configuration. A valid document must compile and stay
// the same when it is stored and read again. A rejected text must give no document.
func FuzzDocument(f *testing.F) {
	text, err := json.Marshal(validDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	for _, seed := range []string{"", "{}", `{"preset":"a","presets":[{"name":"a"}]}`, `{"models":[{"versions":[{"share":1e308}]}]}`, `{"a":[[[{}]]]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			if doc != nil {
				t.Fatal("a document beside an error")
			}
			return
		}
		snapshot, err := Compile(7, doc)
		var faults Faults
		if errors.As(err, &faults) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		checkStoredRoundTrip(t, snapshot.Doc)
	})
}

func checkStoredRoundTrip(t *testing.T, doc *Document) {
	stored, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	reread, err := Parse(stored)
	if err != nil {
		t.Fatal(err)
	}
	if changes := Diff(doc, reread); len(changes) > 0 {
		t.Fatal(changes)
	}
	if _, err := Compile(8, reread); err != nil {
		t.Fatal(err)
	}
}
