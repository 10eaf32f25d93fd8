package rating

import "errors"

// Quality sets the true quality of a version.
type Quality struct {
	Version string `json:"version"`
	// Class is a class, or empty for all classes; empty also replaces what
	// single classes of the version had been given.
	Class string `json:"class"`
	// Quality is the mean of its scores, in [0,1].
	Quality float64 `json:"quality"`
}

// Validate names the field that is wrong.
func (q Quality) Validate() error {
	if q.Version == "" {
		return errors.New("version: missing")
	}
	if !(q.Quality >= 0 && q.Quality <= 1) {
		return errors.New("quality: accepted is 0 to 1")
	}
	return nil
}
