package rating

import "errors"

// Quality sets the true quality of a version, for one class of requests or for all.
type Quality struct {
	// Version is the rated version. It must not be empty.
	Version string `json:"version"`
	// Class limits the setting to one class. Empty sets all classes and replaces
	// earlier settings for single classes of the version.
	Class string `json:"class"`
	// Quality is the mean of the scores before clamping, in [0,1].
	Quality float64 `json:"quality"`
}

// Validate returns an error that names the first invalid field and the accepted
// range.
func (q Quality) Validate() error {
	if q.Version == "" {
		return errors.New("version: missing")
	}
	if !(q.Quality >= 0 && q.Quality <= 1) {
		return errors.New("quality: accepted is 0 to 1")
	}
	return nil
}
