// Package limit provides the rate limiters and call counters of the stand-in
// platform. It has no clock: callers pass the time.
package limit
