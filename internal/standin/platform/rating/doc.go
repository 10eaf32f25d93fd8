// Package rating is the answer rating of the stand-in platform. A score is the true
// quality of a version, which tests set, plus seeded noise. The package has no clock
// and does no I/O.
package rating
