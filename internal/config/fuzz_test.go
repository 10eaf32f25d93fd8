package config

import (
	"encoding/json"
	"errors"
	"testing"
)

// FuzzDocument reads any text as a configuration. Whatever is accepted must
// come into force whole and survive being stored and read again unchanged;
// whatever is not must leave nothing behind.
func FuzzDocument(f *testing.F) {
	text, err := json.Marshal(sound())
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
		storedAndReadAgain(t, snapshot.Doc)
	})
}

func storedAndReadAgain(t *testing.T, doc *Document) {
	stored, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(stored)
	if err != nil {
		t.Fatal(err)
	}
	if changes := Diff(doc, again); len(changes) > 0 {
		t.Fatal(changes)
	}
	if _, err := Compile(8, again); err != nil {
		t.Fatal(err)
	}
}
