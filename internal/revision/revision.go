// Package revision numbers the changes of the platform's table.
package revision

import "github.com/rotisserie/eris"

// Revision identifies a change of the table, and with it all changes up to it. Revisions are
// ordered; 0 is before all.
//
// The table may come back from an older copy of itself and then gives its versions out again. A
// version therefore means nothing without the era that gave it out: a Revision holds both, and
// all revisions of an era precede those of a later one.
type Revision uint64

const (
	// versionBits is the number of bits of a version.
	versionBits = 48
	maxVersion  = 1<<versionBits - 1
	maxEra      = 1<<(64-versionBits) - 1
)

// New returns the revision of a version in an era. It fails if either is too large.
func New(era, version uint64) (Revision, error) {
	if era > maxEra {
		return 0, eris.Errorf("era is %d, at most %d is allowed", era, uint64(maxEra))
	}
	if version > maxVersion {
		return 0, eris.Errorf("version is %d, at most %d is allowed", version, uint64(maxVersion))
	}
	return Revision(era<<versionBits | version), nil
}

// Era returns the number of the table's history that gave the version out.
func (r Revision) Era() uint64 { return uint64(r >> versionBits) }

// Version returns the table's version.
func (r Revision) Version() uint64 { return uint64(r & maxVersion) }
