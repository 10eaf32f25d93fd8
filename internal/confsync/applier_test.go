package confsync

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/config"
)

func document(state config.VersionState) string {
	return `{"preset":"p","presets":[{"name":"p"}],"models":[{"name":"m","versions":[{"name":"m@1","state":"` + string(state) + `"}]}]}`
}

// Only documents newer than the current one are applied; invalid ones are errors. Unknown
// fields are ignored, unknown values refused.
func TestPrepareAppliesOnlyNewerValidDocuments(t *testing.T) {
	current := archive.New(4, []byte(document(config.Serving)), nil)
	cases := []struct {
		name     string
		revision uint64
		stored   string
		applied  bool
		fails    bool
	}{
		{"newer", 5, document(config.Withdrawn), true, false},
		{"the same again", 4, document(config.Withdrawn), false, false},
		{"older", 3, document(config.Withdrawn), false, false},
		{"with spaces", 5, strings.ReplaceAll(document(config.Withdrawn), ",", " ,\n"), true, false},
		{"with a field of a newer release", 5, strings.Replace(document(config.Withdrawn), `"preset"`, `"news":[1],"preset"`, 1), true, false},
		{"with a state of a newer release", 5, document("resting"), false, true},
		{"no JSON", 5, "{", false, true},
		{"no document", 5, "[]", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := prepare(current, job{update: archive.Update{To: c.revision}, stored: []byte(c.stored)})
			is.Equal(err != nil, c.fails)
			is.Equal(got != nil, c.applied)
			if c.applied {
				is.Equal(got.snapshot.Revision, c.revision)
				is.Equal(got.snapshot.Version("m@1").State, config.Withdrawn)
				is.Equal(len(got.archive.Deltas()), 1) // for the children
			}
		})
	}
}

// A peer's update that leads to a different revision than it states is not applied.
func TestPrepareRefusesUpdateWithWrongRevision(t *testing.T) {
	is := is.New(t)
	current := archive.New(4, []byte(document(config.Serving)), nil)
	d, err := archive.MakeDelta(4, 5, current.Raw(), []byte(document(config.Withdrawn)))
	is.NoErr(err)
	_, err = prepare(current, job{update: archive.Update{To: 6, Deltas: []archive.Delta{d}}})
	is.True(err != nil)
}
