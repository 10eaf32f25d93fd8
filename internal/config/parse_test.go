package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A plain JSON decoder drops a misspelt field, such as "share", and keeps only the last
// of two fields with one name. The configuration in force would then differ from the
// file, so every such field must be rejected with its path.
func TestParseNamesEveryFaultByPath(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string // "field: part of the reason"
	}{
		{"unknown at the top", `{"prestes": []}`, []string{"prestes: is not a known field"}},
		{"unknown deep", `{"models":[{"name":"m","versions":[{"nme":"v"}]}]}`, []string{"models[0].versions[0].nme: is not a known field"}},
		{"other case", `{"Preset":"p"}`, []string{"Preset: is not a known field"}},
		{"twice", `{"preset":"p","preset":"q"}`, []string{"preset: stands twice"}},
		{"twice deep", `{"classes":[{},{"name":"a","name":"b"}]}`, []string{"classes[1].name: stands twice"}},
		{"text for number", `{"organisations":[{"weight":"8"}]}`, []string{`organisations[0].weight: must be a number, not "8"`}},
		{"fraction for whole", `{"classes":[{"deadline_ms":1.5}]}`, []string{"classes[0].deadline_ms: must be a whole number of 64 bits, not 1.5"}},
		{"too large whole", `{"classes":[{"deadline_ms":9223372036854775808}]}`, []string{"classes[0].deadline_ms: must be a whole number"}},
		{"too large real", `{"organisations":[{"weight":1e999}]}`, []string{"organisations[0].weight: must be a number, not 1e999"}},
		{"null number", `{"organisations":[{"weight":null}]}`, []string{"organisations[0].weight: must be a number, not null"}},
		{"object for list", `{"models":{"name":"m"}}`, []string{"models: must be a list, not an object"}},
		{"list for object", `{"models":[[1,[2]]]}`, []string{"models[0]: must be an object, not a list"}},
		{"list for text", `{"preset":["p"],"x":1}`, []string{"preset: must be text, not a list", "x: is not a known field"}},
		{"number for flag", `{"presets":[{"cascades":1}]}`, []string{"presets[0].cascades: must be true or false, not 1"}},
		{"list as document", `[1]`, []string{"document: must be an object, not a list"}},
		{"several at once", `{"a":{"b":[1,{}]},"b":2,"preset":3}`, []string{"a: is not", "b: is not", "preset: must be text, not 3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.text))
			var faults Faults
			is.True(errors.As(err, &faults)) // each fault has a path
			is.Equal(len(faults), len(c.want))
			for i, f := range faults {
				is.True(strings.HasPrefix(f.Field+": "+f.Reason, c.want[i])) // the path and the reason
			}
		})
	}
}

func TestParseRefusesTextThatIsNotOneJSONValue(t *testing.T) {
	for _, text := range []string{"", "{", `{"preset":"p"`, `{"models":[`, `{"models":[{`, "nope", `{"preset":"p"} {}`, `{"preset":}`} {
		is := is.New(t)
		_, err := Parse([]byte(text))
		is.True(err != nil)
		var faults Faults
		is.True(!errors.As(err, &faults)) // a syntax error, not a fault of a field
	}
}

func TestDecodeReadsOneEntity(t *testing.T) {
	is := is.New(t)
	o, err := Decode[Organisation]([]byte(`{"name":"tunis","weight":2,"key_hashes":null,"targets":[{"class":"c","quality":0.5}]}`))
	is.NoErr(err)
	is.Equal(o.Weight, 2.0)
	is.Equal(o.Targets[0].Quality, 0.5)
	_, err = Decode[Organisation]([]byte(`{"name":"tunis","wieght":2}`))
	is.Equal(err.Error(), "wieght: is not a known field")
}

// A document full of errors must not give an answer that grows with the document.
func TestParseBoundsTheNumberOfFaults(t *testing.T) {
	is := is.New(t)
	text := `{"models":[` + strings.Repeat(`1,`, 5000) + `1]}`
	_, err := Parse([]byte(text))
	var faults Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), maxFaults+1)
}
