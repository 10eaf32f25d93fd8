package revision

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Fails if a version of an earlier era counts as newer than one of a later era.
func TestErasOrderRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		draw := func(name string) (era, version uint64, r Revision) {
			era = rapid.Uint64Range(0, maxEra).Draw(t, name+" era")
			version = rapid.Uint64Range(0, maxVersion).Draw(t, name+" version")
			r, err := New(era, version)
			is.NoErr(err)
			is.Equal(r.Era(), era)
			is.Equal(r.Version(), version)
			return era, version, r
		}
		eraA, versionA, a := draw("a")
		eraB, versionB, b := draw("b")
		is.Equal(a < b, eraA < eraB || eraA == eraB && versionA < versionB)
	})
}

// Fails if values that do not fit are taken for others.
func TestRevisionsThatDoNotFitAreErrors(t *testing.T) {
	is := is.New(t)
	for _, v := range [][2]uint64{{maxEra + 1, 0}, {0, maxVersion + 1}} {
		_, err := New(v[0], v[1])
		is.True(err != nil)
	}
}
