// Package rating is the answer rating of the stand-in platform: the true
// quality of each version, which tests set, and noise by seed. It has no clock
// and does no I/O.
package rating
